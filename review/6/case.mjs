/* eslint-disable no-await-in-loop -- steps follow each other */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { runCase, sleep } from '../common-2/World.mjs';

const ID = '5c0e7a21d94b3601';
const MAX_ATTEMPTS = 3;
const MEMBERS = 4;
const WORK_MS = 1_500;
/** `srv_grey` with `errors` of the site file: one worker of the service, for so long. */
const FAULT_MS = 6_500;

/** Finds the executor on which the work items of a job have begun. */
async function findHost(world, id) {
  const deadlineMs = performance.now() + 5_000;
  while (!world.hasStarted(id) && performance.now() < deadlineMs) await sleep(10);
  const start = world.seen.find(({ event, task }) => event === 'start' && task.startsWith(id));
  return world.executors.find(({ id: executorId }) => executorId === start?.executor);
}

async function play(world, hasTrouble) {
  await world.start({
    daemonCount: 3,
    pools: [{ name: 'media', executorCount: 6 }],
    queues: [{ name: 'render', pool: 'media', attempts: MAX_ATTEMPTS }],
  });
  const spec = JSON.stringify({ ms: WORK_MS, gang: MEMBERS });
  const steps = [{ count: MEMBERS, cpu: 1_000, mem_mb: 100, estimate_ms: WORK_MS, gang: true }];
  // The first worker with room gets the gang: see which one it is by a gang that runs before.
  const probeId = '5c0e7a21d94b3600';
  if (!(await world.submit('render', probeId, { spec, steps }))) throw new Error('not accepted');
  const host = await findHost(world, probeId);
  if (host === undefined) throw new Error('The first gang did not start.');
  await sleep(WORK_MS + 1_000);
  if (hasTrouble) {
    world.log({ event: 'worker fails all that it starts', executor: host.id });
    host.fault = 'failing';
    setTimeout(() => Object.assign(host, { fault: undefined }), FAULT_MS);
  }
  if (!(await world.submit('render', ID, { spec, steps }))) throw new Error('not accepted');
  const endMs = performance.now() + 25_000;
  let state;
  while (performance.now() < endMs && state !== 'failed' && state !== 'completed') {
    await sleep(250);
    const answer = await world.ask(world.daemons[0], 'GET', `/render/${ID}`);
    state = answer.body?.state;
  }
  const failedRuns = world.countRuns(ID, 'failed');
  world.log({ event: 'seen', state, failedRuns });
  if (state === 'completed') return undefined;
  if (state === 'failed' && failedRuns >= MAX_ATTEMPTS) return undefined;
  return `LOST: the job is shown as ${state} after ${failedRuns} failed run of its gang, of ${MAX_ATTEMPTS}.`;
}

await runCase(import.meta.dirname, play);
