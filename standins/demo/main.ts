import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { SeededRng } from '../../src/utils/index.js';
import { checkPromises } from './checkPromises.js';
import { DemoCluster, type DemoDaemon } from './DemoCluster.js';
import { listJobKinds } from './DemoJob.js';
import { type DemoUser, readDemoUsers } from './demoUsers.js';
import { formatSummary } from './formatSummary.js';
import { JobStream } from './JobStream.js';
import { publish, publishAll } from './publish.js';
import { getConfigurationRollOutMs, getWaveRollOutMs } from './rollOutTimes.js';

const DAEMON_COUNT = 3;
const SEED = 1;
const JOB_INTERVAL_MS = 25;
const MAX_JOB_COUNT = 1_200;
const WAVE_LIMIT_S = 35;
const BALANCER_DELAY_MS = 200;
const DEMO_LIMIT_MS = 58_000;

const waveSchema = z.object({
  wave: z.string(),
  state: z.string(),
  reason: z.string(),
  vmCount: z.number(),
  maintainedVmCount: z.number(),
});

/** Chooses one pool of each user: the one that needs the fewest slots. */
function chooseWavePools(users: readonly DemoUser[]): readonly string[] {
  return users.map((user) => {
    const pools = user.files.flatMap(({ settings }) =>
      Object.entries(settings.pools).map(([name, pool]) => ({
        name: `${settings.team}/${name}`,
        neededSlotCount: pool.neededSlotCount,
      })),
    );
    return pools.reduce((least, pool) =>
      pool.neededSlotCount < least.neededSlotCount ? pool : least,
    ).name;
  });
}

async function runWave(cluster: DemoCluster, users: readonly DemoUser[]) {
  const limit = String(WAVE_LIMIT_S);
  const pools = chooseWavePools(users);
  const run = await cluster.runCli(['waves', 'start', ...pools, '--wait', '--limit-s', limit]);
  const wave = waveSchema.safeParse(run.json).data;
  if (run.code !== 0 || wave?.state !== 'finished') {
    throw new Error(`The wave did not finish:\n${run.lines.join('\n')}`);
  }
  return wave;
}

/** Stops the daemons one by one under load, as a replacement of the entry VMs would. */
async function stopDaemons(daemons: readonly DemoDaemon[], stream: JobStream): Promise<number> {
  const [daemon, ...others] = daemons;
  if (daemon === undefined) return 0;
  if (others.length > 0) stream.leaveOut(daemon);
  else stream.stop();
  await sleep(BALANCER_DELAY_MS);
  const isGraceful = await DemoCluster.stopDaemon(daemon);
  return (isGraceful ? 1 : 0) + (await stopDaemons(others, stream));
}

async function runDemo(cluster: DemoCluster): Promise<number> {
  const users = readDemoUsers();
  await cluster.start(users, DAEMON_COUNT);
  console.log(`${DAEMON_COUNT} daemons, ${users.flatMap(({ vms }) => vms).length} VMs`);
  const files = users.flatMap((user) => user.files);
  await publishAll(cluster, files);
  console.log('settings of both users in force, every pool has its VMs');
  const stream = new JobStream({
    daemons: cluster.daemons,
    kinds: users.flatMap(listJobKinds),
    rng: new SeededRng(SEED),
    intervalMs: JOB_INTERVAL_MS,
    maxJobCount: MAX_JOB_COUNT,
  });
  stream.start();
  const [wave] = await Promise.all([
    runWave(cluster, users),
    // A change of settings under load, whose roll-out is measured.
    publish(cluster, { ...files[0]!, document: `${files[0]!.document}\n// Revised.\n` }),
  ]);
  const stoppedDaemonCount = await stopDaemons(cluster.daemons, stream);
  const answers = await stream.collectAnswers();
  const starts = await cluster.listStarts();
  const logLines = cluster.daemons.flatMap(({ managed }) => managed.logLines);
  const broken = checkPromises(answers, starts, logLines);
  const summary = formatSummary({
    answers,
    broken,
    waveRollOutMs: getWaveRollOutMs(logLines, wave.wave),
    waveVmCount: wave.maintainedVmCount,
    configurationRollOutMs: getConfigurationRollOutMs(logLines),
    stoppedDaemonCount,
    daemonCount: DAEMON_COUNT,
  });
  console.log(summary.join('\n'));
  const isWhole = Object.values(broken).every((ids) => ids.length === 0);
  return isWhole && stoppedDaemonCount === DAEMON_COUNT ? 0 : 1;
}

async function main(): Promise<number> {
  const cluster = new DemoCluster();
  const limit = setTimeout(() => {
    console.error('The demo took too long.');
    void cluster.destroy().then(() => process.exit(1));
  }, DEMO_LIMIT_MS);
  const stop = () => {
    void cluster.destroy().then(() => process.exit(1));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  try {
    return await runDemo(cluster);
  } catch (error) {
    console.error(String(error));
    return 1;
  } finally {
    clearTimeout(limit);
    await cluster.destroy();
  }
}

process.exit(await main());
