/* eslint-disable no-await-in-loop -- steps follow each other */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { BOUNDS, runCase, sleep } from '../common-2/World.mjs';

const EXECUTORS = 6;
const WAITING_JOBS = 12;
/** `srv_grey` of the site file: one worker of the service, for so long. */
const FAULT_MS = 6_500;
const SETTLED_MS = BOUNDS.visible_ms + 2_000;

const makeId = (number) => `5c0e7a21d94b${number.toString(16).padStart(4, '0')}`;

async function play(world, hasTrouble) {
  await world.start({
    daemonCount: 3,
    pools: [{ name: 'media', executorCount: EXECUTORS }],
    queues: [{ name: 'render', pool: 'media', attempts: 3 }],
  });
  // The pool is full: one job fills each worker, and one of them ends sooner than the others.
  const fill = (ms) => ({
    spec: JSON.stringify({ ms }),
    steps: [{ count: 1, cpu: 31_000, mem_mb: 100, estimate_ms: ms }],
  });
  for (let index = 0; index < EXECUTORS; index += 1) {
    const isAccepted = await world.submit(
      'render',
      makeId(index),
      fill(index === 0 ? 9_000 : 60_000),
    );
    if (!isAccepted) throw new Error('not accepted');
  }
  await sleep(1_000);
  const small = {
    spec: JSON.stringify({ ms: 1_000 }),
    steps: [{ count: 1, cpu: 2_000, mem_mb: 100, estimate_ms: 1_000 }],
  };
  for (let index = 0; index < WAITING_JOBS; index += 1) {
    if (!(await world.submit('render', makeId(100 + index), small))) {
      throw new Error('not accepted');
    }
  }
  await sleep(SETTLED_MS + 200);
  const isBegun = (index) => world.hasStarted(makeId(100 + index));
  const countWaiting = () =>
    Array.from({ length: WAITING_JOBS }, (_each, index) => isBegun(index)).filter((each) => !each)
      .length;
  const freed = world.executors.find(({ running }) => running.has(`${makeId(0)}.0.0.0`));
  if (freed === undefined || countWaiting() !== WAITING_JOBS) {
    throw new Error('The pool is not full.');
  }
  if (hasTrouble) {
    world.log({ event: 'worker is unhealthy', executor: freed.id });
    freed.fault = 'unhealthy';
    setTimeout(() => Object.assign(freed, { fault: undefined }), FAULT_MS);
  }
  let broken;
  const endMs = performance.now() + FAULT_MS - 300;
  while (performance.now() < endMs) {
    const before = countWaiting();
    const answers = await Promise.all(world.daemons.map((d) => world.ask(d, 'GET', '/render/')));
    const waiting = Math.min(before, countWaiting());
    world.log({ event: 'look', waiting, pending: answers.map(({ body }) => body?.pending) });
    const tooFew = answers.find(({ status, body }) => status === 200 && body.pending < waiting / 2);
    if (tooFew !== undefined) {
      broken ??= `MIXED: ${tooFew.body.pending} jobs are shown as pending, ${waiting} accepted ones have not begun.`;
    }
    await sleep(500);
  }
  return broken;
}

await runCase(import.meta.dirname, play);
