/* eslint-disable no-await-in-loop -- steps follow each other */
import { performance } from 'node:perf_hooks';
import { runCase, sleep } from '../common-2/World.mjs';

const ID = '5c0e7a21d94b3601';
const CRASHES = 4;
/** `srv_crash` of the site file: one worker of six at a time, down for so long. */
const DOWN_MS = 4_500;
const BETWEEN_MS = 6_000;

async function findHost(world) {
  const deadlineMs = performance.now() + 8_000;
  while (performance.now() < deadlineMs) {
    const host = world.executors.find(({ running }) => running.size > 0);
    if (host !== undefined) return host;
    await sleep(50);
  }
  return undefined;
}

async function play(world, hasTrouble) {
  await world.start({
    daemonCount: 3,
    pools: [{ name: 'media', executorCount: 6 }],
    queues: [{ name: 'backup', pool: 'media', attempts: 3 }],
  });
  const job = {
    spec: JSON.stringify({ lasts: 500 }),
    steps: [{ count: 1, cpu: 3_600, mem_mb: 1_000, estimate_ms: 500, long_running: true }],
  };
  if (!(await world.submit('backup', ID, job))) throw new Error('not accepted');
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const host = await findHost(world);
    if (host === undefined) break;
    await sleep(BETWEEN_MS);
    if (hasTrouble) void world.crashExecutor(host, DOWN_MS);
    await sleep(300);
  }
  // Within 6 s after its last run, a work item that lasts runs again.
  await sleep(6_000);
  const { body } = await world.ask(world.daemons[0], 'GET', `/backup/${ID}`);
  const failedRuns = world.countRuns(ID, 'failed');
  const isRunning = world.executors.some(({ running }) => running.size > 0);
  world.log({ event: 'seen', state: body?.state, failedRuns, isRunning });
  if (body?.state !== 'failed') return undefined;
  return `LOST: a job that lasts is shown as failed and runs nowhere; ${failedRuns} runs ended failed.`;
}

await runCase(import.meta.dirname, play);
