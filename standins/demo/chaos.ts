import { parseArgs } from 'node:util';
import { SeededRng } from '../../src/utils/index.js';
import { checkPromises } from './checkPromises.js';
import { DemoCluster } from './DemoCluster.js';
import { listJobKinds } from './DemoJob.js';
import { readDemoUsers } from './demoUsers.js';
import { Disturbances } from './Disturbances.js';
import { formatSummary } from './formatSummary.js';
import { JobStream } from './JobStream.js';
import { publishAll } from './publish.js';
import { getConfigurationRollOutMs } from './rollOutTimes.js';

const DAEMON_COUNT = 4;
const JOB_INTERVAL_MS = 15;
const MAX_JOB_COUNT = 3_000;
const DEFAULT_SEED = '11';
/** Callers of killed daemons and of cut answers get none; they can repeat their request. */
const EXPECTED = 'jobs without an answer';

async function runChaos(cluster: DemoCluster, seed: number): Promise<number> {
  const users = readDemoUsers();
  await cluster.start(users, DAEMON_COUNT);
  await publishAll(
    cluster,
    users.flatMap((user) => user.files),
  );
  const stream = new JobStream({
    daemons: cluster.daemons,
    kinds: users.flatMap(listJobKinds),
    rng: new SeededRng(seed),
    intervalMs: JOB_INTERVAL_MS,
    maxJobCount: MAX_JOB_COUNT,
  });
  stream.start();
  const vms = users.flatMap((user) => user.vms.map(({ vm }) => vm));
  const report = (line: string) => console.log(line);
  await new Disturbances({ cluster, stream, vms, report }).run();
  stream.stop();
  const answers = await stream.collectAnswers();
  const starts = await cluster.listStarts();
  const logLines = cluster.daemons.flatMap(({ managed }) => managed.logLines);
  const broken = checkPromises(answers, starts, logLines);
  const summary = formatSummary({
    answers,
    broken,
    waveRollOutMs: undefined,
    waveVmCount: 0,
    configurationRollOutMs: getConfigurationRollOutMs(logLines),
    stoppedDaemonCount: 0,
    daemonCount: DAEMON_COUNT,
  });
  console.log(summary.join('\n'));
  const isKept = Object.entries(broken).every(
    ([promise, ids]) => promise === EXPECTED || ids.length === 0,
  );
  return isKept ? 0 : 1;
}

const { values } = parseArgs({ options: { seed: { type: 'string', default: DEFAULT_SEED } } });
const cluster = new DemoCluster();
const stop = () => {
  void cluster.destroy().then(() => process.exit(1));
};
process.once('SIGINT', stop);
process.once('SIGTERM', stop);
console.log(`seed ${values.seed}`);
try {
  process.exitCode = await runChaos(cluster, Number(values.seed));
} finally {
  await cluster.destroy();
}
process.exit();
