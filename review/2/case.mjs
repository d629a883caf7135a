/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
import { setTimeout as sleep } from 'node:timers/promises';
import { waitFor } from '../common/Cluster.mjs';
import { runCase } from '../common/runCase.mjs';

const EXECUTOR_COUNT = 20;
const CAPACITY = { cpu: 8_000, mem_mb: 32_768, gpu: 0 };
/** `srv_crash` takes a share of 0.14 of a service: 2 of 20 executors. */
const CRASH_COUNT = 2;
/** Three such crashes, each of other executors. */
const CRASH_ROUNDS = 3;
/** A supervisor starts a process again at once. */
const RESTART_AFTER_MS = 100;
const CRASH_GAP_MS = 370;
/** So many work items fill every executor, four at a time on each. */
const WORK_ITEM_COUNT = EXECUTOR_COUNT * 4;
const RUN_MS = 500;

const ROUTE = {
  name: 'r-save',
  host: 'wiki.example',
  path_prefix: '/save/',
  type: 'non_idempotent',
  timeout_ms: 3_000,
  target_duration_ms: 600,
  priority: 1,
  backend: 'editor',
  max_attempts: 3,
  stretch: 1.6,
};
const BACKENDS = [
  { name: 'editor', health_path: '/health', enforces_capacity: true, standby: false },
];
const STEPS = [{ count: WORK_ITEM_COUNT, cpu: 2_000, mem_mb: 256, estimate_ms: RUN_MS }];

/** Hands in a job that fills the service, and waits until it is shown as completed. */
async function runWideJob(cluster, spec) {
  const { jobId, isAccepted } = await cluster.submit(
    ROUTE,
    { spec, steps: STEPS },
    { durationMs: RUN_MS },
  );
  if (!isAccepted) throw new Error('A job was not accepted.');
  const isCompleted = async () => (await cluster.getState(ROUTE, jobId, 1)).state === 'completed';
  return waitFor(isCompleted, 15_000, 500);
}

/** Crashes executors one after the other; each is back before the next one crashes. */
async function crashInTurn(cluster, [first, ...others]) {
  if (first === undefined) return;
  await cluster.restartExecutor(first, RESTART_AFTER_MS);
  await sleep(CRASH_GAP_MS);
  await crashInTurn(cluster, others);
}

/** TWICE: a start after a run has ended `done`, if that end was listed and is taken note of. */
function findStartsAfterDone(events) {
  const done = new Map();
  const acknowledged = new Set();
  return events.flatMap(({ what, id, task, run, how }) => {
    if (what === 'end' && how === 'done') done.set(task, `run ${run} on ${id}`);
    if (what === 'acknowledged' && how === 'done') acknowledged.add(task);
    if (what !== 'start' || !done.has(task) || !acknowledged.has(task)) return [];
    const earlier = done.get(task);
    return [`TWICE: run ${run} of ${task} on ${id}, though ${earlier} was done and taken note of`];
  });
}

await runCase(import.meta.url, { daemonCount: 3 }, async (cluster, hasTrouble) => {
  await cluster.start({ config: { routes: [ROUTE], backends: BACKENDS } });
  await Promise.all(
    Array.from({ length: EXECUTOR_COUNT }, (_executor, index) =>
      cluster.addExecutor({ pool: 'editor', capacity: CAPACITY, rack: `r1-${index % 5}` }),
    ),
  );
  await cluster.startDaemons();
  await sleep(3_000);
  // Every executor has ended some work items, which the home has taken note of.
  if (!(await runWideJob(cluster, 'before 1'))) throw new Error('The first job was not done.');
  if (!(await runWideJob(cluster, 'before 2'))) throw new Error('The second job was not done.');

  for (let round = 0; round < CRASH_ROUNDS; round += 1) {
    const crashed = cluster.executors.slice(round * CRASH_COUNT, (round + 1) * CRASH_COUNT);
    if (hasTrouble) await crashInTurn(cluster, crashed);
    await sleep(4_000);
    const isCompleted = await runWideJob(cluster, `after ${round + 1}`);
    cluster.note(`job after crash ${round + 1} completed within 15 s:`, String(isCompleted));
    await sleep(1_000);
  }
  return findStartsAfterDone(cluster.events);
});
