import { setTimeout as sleep } from 'node:timers/promises';
import { QueueClient } from '../../src/cli/QueueClient.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { DaemonTransport } from '../../src/operators/index.js';
import { digestKey, NO_LIMIT, type QueueConfiguration } from '../../src/queues/index.js';
import { SystemClock } from '../../src/utils/index.js';
import type { FleetVm } from '../../src/vms/index.js';
import { JobsCluster } from './JobsCluster.js';

const JOB_COUNT = 30;
const NODE_COUNT = 3;
const TASK_MS = 150;
const LOOK_MS = 20;
const WAVE = 1;
const LIMIT_MS = 30_000;
const SILENCE_LIMIT_MS = 5_000;
const POOLS = ['pages', 'archive'];

/** Organisation of each pool's callers, with its key. */
const KEYS = new Map([
  ['pages', 'demo-key-of-council'],
  ['archive', 'demo-key-of-library'],
]);

const configuration: QueueConfiguration = {
  version: 1,
  queues: POOLS.map((pool) => ({
    host: 'wiki.example',
    pathPrefix: `/${pool}/`,
    terms: { queue: pool, pool, priority: 0, maxAttempts: 3, stretch: 2, targetDurationMs: 600 },
  })),
  pools: [...POOLS.map((pool) => ({ pool, isStandby: false })), { pool: 'spare', isStandby: true }],
  organisations: [
    { name: 'council', weight: 3, limit: NO_LIMIT, keyDigests: [digestKey(KEYS.get('pages')!)] },
    {
      name: 'library',
      weight: 1,
      limit: { ...NO_LIMIT, cpuMillicores: 16_000 },
      keyDigests: [digestKey(KEYS.get('archive')!)],
    },
  ],
};

const vms: readonly FleetVm[] = [
  ...POOLS.flatMap((pool) =>
    ['1', '2', '3'].map((number): FleetVm => {
      const vm = `${pool}-${number}`;
      return { vm, pool, state: 'up', targetId: `target-${vm}` };
    }),
  ),
  { vm: 'spare-1', pool: 'spare', state: 'up' },
];

const job = JSON.stringify({
  steps: [
    { taskCount: 4, demand: { cpuMillicores: 2_000 }, estimatedRunMs: TASK_MS },
    { taskCount: 1, afterSteps: [0], estimatedRunMs: TASK_MS },
  ],
});

/** Ends each task a while after it began. */
function finishTasks({ targets }: JobsCluster): NodeJS.Timeout {
  const seenAtMs = new Map<string, number>();
  return setInterval(() => {
    const nowMs = Date.now();
    targets.listRunning().forEach((taskName) => {
      const sinceMs = seenAtMs.get(taskName) ?? nowMs;
      seenAtMs.set(taskName, sinceMs);
      if (nowMs - sinceMs >= TASK_MS) targets.finish(taskName, 'done');
    });
  }, LOOK_MS);
}

async function waitUntil(isTrue: () => Promise<boolean>): Promise<boolean> {
  const untilMs = Date.now() + LIMIT_MS;
  let isDone = await isTrue();
  while (!isDone && Date.now() < untilMs) {
    // eslint-disable-next-line no-await-in-loop -- a look follows the other
    await sleep(LOOK_MS);
    // eslint-disable-next-line no-await-in-loop -- a look follows the other
    isDone = await isTrue();
  }
  return isDone;
}

async function run(): Promise<number> {
  const events = new MemoryEventLog();
  const cluster = new JobsCluster({ configuration, vms, events, nodeCount: NODE_COUNT });
  await cluster.start();
  await waitUntil(async () => cluster.nodes.every(({ node }) => node.isReady));
  const timer = finishTasks(cluster);
  const daemons = cluster.nodes.map(({ address }) => address);
  const clock = new SystemClock();
  const transport = new DaemonTransport({ daemons, clock, silenceLimitMs: SILENCE_LIMIT_MS });
  const clients = new Map(
    [...KEYS].map(([pool, key]) => [pool, new QueueClient({ transport, key })]),
  );
  const getClient = (queue: string): QueueClient => clients.get(queue)!;
  const stranger = new QueueClient({ transport, key: 'unknown' });
  const jobs = Array.from({ length: JOB_COUNT }, (_j, number) => ({
    queue: POOLS[number % POOLS.length]!,
    jobId: `job-${number}`,
  }));
  await cluster.orderWave({
    wave: WAVE,
    vms: vms.map(({ vm }) => vm),
    withinMs: LIMIT_MS,
    maxDownCount: 2,
  });
  await Promise.all(jobs.map(({ queue, jobId }) => getClient(queue).submit(queue, jobId, job)));
  const isStrangerRefused = await stranger.submit(POOLS[0]!, 'job-of-nobody', job).then(
    () => false,
    () => true,
  );
  // The instance that callers ask first stops while its jobs run.
  await JobsCluster.stopNode(cluster.nodes.shift()!);
  const countCompleted = async (): Promise<number> => {
    const views = await Promise.all(
      jobs.map(({ queue, jobId }) => getClient(queue).getJob(queue, jobId)),
    );
    return views.filter(({ state }) => state === 'completed').length;
  };
  const areDone = await waitUntil(async () => (await countCompleted()) === JOB_COUNT);
  const isWaveDone = await waitUntil(
    async () => (await cluster.readWaveStatus(WAVE)) === 'completed',
  );
  const { violations, begun } = cluster.targets;
  const maintainedCount = cluster.fleet.orders.filter(({ order }) => order === 'maintain').length;
  console.log(`${await countCompleted()} of ${JOB_COUNT} jobs completed, ${begun.length} runs`);
  console.log(`${violations.length} tasks ran twice; one of ${NODE_COUNT} instances was stopped`);
  console.log(`wave: ${maintainedCount} of ${vms.length} VMs maintained`);
  const organisations = await stranger.listOrganisations();
  console.log(`organisations: ${organisations.map(({ organisation }) => organisation).join(', ')}`);
  console.log(`a call with an unknown key was ${isStrangerRefused ? 'refused' : 'taken'}`);
  clearInterval(timer);
  await transport.close();
  await cluster.stop();
  const isKept = violations.length === 0 && isStrangerRefused;
  return areDone && isWaveDone && isKept ? 0 : 1;
}

process.exitCode = await run();
