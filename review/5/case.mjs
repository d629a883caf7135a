/* eslint-disable no-await-in-loop -- steps follow each other */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { runCase, sleep } from '../common-2/World.mjs';

const LONG_ID = '5c0e7a21d94b3601';
const LONG_MS = 25_000;
const SHORT_JOBS = 24;
/** `node_cut` of the site file: one machine and one worker, for so long. */
const CUT_MS = 5_500;
/** `platform_compact` with `rebalance`, so long after the cut has begun. */
const DEAL_AFTER_MS = 100;
/** PROTOCOL: the executor's own steady clock may be 2 % slow. */
const CLOCK_RATE = 0.98;

const makeId = (number) => `5c0e7a21d94b${number.toString(16).padStart(4, '0')}`;

async function submit(world, id, ms) {
  const steps = [{ count: 1, cpu: 1_000, mem_mb: 100, estimate_ms: ms }];
  const isAccepted = await world.submit('render', id, { spec: JSON.stringify({ ms }), steps });
  if (!isAccepted) throw new Error('not accepted');
}

/** Lists the executors that are up and run a work item at this moment. */
function listHosts(world, task) {
  return world.executors.filter(({ isDown, running }) => !isDown && running.has(task));
}

/**
 * Cuts the home's machine and one worker off from all else: from the store, from the other workers
 * and from the next home; the two reach each other. Then the store deals all partitions anew.
 */
async function bringTrouble(world, host, home) {
  await world.whenRenewed(home);
  world.log({ event: 'cut', home: home.index, executor: host.id });
  const { highestFence: fence } = host;
  world.store.cutOff.add(home.index);
  world.executors.forEach((executor) => {
    const fencesThrough =
      executor === host ? { from: 0, to: fence } : { from: fence + 1, to: Infinity };
    Object.assign(executor, { fencesThrough });
  });
  setTimeout(() => {
    world.store.cutOff.delete(home.index);
    world.executors.forEach((executor) =>
      Object.assign(executor, { fencesThrough: { from: 0, to: Infinity } }),
    );
    world.log({ event: 'the cut is over' });
  }, CUT_MS);
  await sleep(DEAL_AFTER_MS);
  world.store.dealAnew('homes');
  world.log({ event: 'all partitions are dealt anew' });
}

async function play(world, hasTrouble) {
  await world.start({
    daemonCount: 3,
    pools: [{ name: 'media', executorCount: 6 }],
    queues: [{ name: 'render', pool: 'media', attempts: 3 }],
  });
  world.executors.forEach((executor) => Object.assign(executor, { clockRate: CLOCK_RATE }));
  await sleep(2_000);
  await submit(world, LONG_ID, LONG_MS);
  // Usual work that ends from time to time.
  for (let index = 0; index < SHORT_JOBS; index += 1) {
    await submit(world, makeId(index), 1_500 + 150 * index);
  }
  const task = `${LONG_ID}.0.0.0`;
  const [host] = listHosts(world, task);
  const home = world.findHome(world.findPartition(LONG_ID));
  if (host === undefined || home === undefined) throw new Error('The job does not run.');
  await sleep(1_000);
  if (hasTrouble) await bringTrouble(world, host, home);
  const endMs = performance.now() + 12_000;
  let firstMs;
  let lastMs;
  while (performance.now() < endMs) {
    await sleep(10);
    const hosts = listHosts(world, task);
    if (hosts.length > 1) {
      lastMs = performance.now();
      if (firstMs === undefined) world.log({ event: 'twice', on: hosts.map(({ id }) => id) });
      firstMs ??= lastMs;
    }
  }
  if (firstMs === undefined) return undefined;
  const spanMs = Math.round(lastMs - firstMs);
  return `TWICE: two runs of one work item at the same time, for ${spanMs} ms.`;
}

await runCase(import.meta.dirname, play);
