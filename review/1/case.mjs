/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../common/runCase.mjs';

/** A requester sends a request without an answer again: four retries, as the sheet says. */
const JOB_COUNT = 3;
const MINUTE_MS = 60_000;
const MINUTES_OF_A_YEAR = 365 * 24 * 60;
const MINUTES_OF_AN_HOUR = 60;
/** `processes end by themselves three times in the day`. */
const ENDS_OF_A_MACHINE = 3;
/** `on a tenth of the machines in use (two at least)`. */
const MACHINE_COUNT = 2;

const ROUTE = {
  name: 'r-sweep',
  host: 'wiki.example',
  path_prefix: '/sweep/',
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

await runCase(
  import.meta.url,
  { daemonCount: 3, restartAfterMs: 500 },
  async (cluster, hasTrouble) => {
    await cluster.start({ config: { routes: [ROUTE], backends: BACKENDS } });
    await cluster.addExecutor({ pool: 'editor' });
    await cluster.startDaemons();
    await sleep(3_000);

    const steps = [{ count: 1, cpu: 1_800, mem_mb: 256, estimate_ms: 500 }];
    const plain = await cluster.submit(ROUTE, { spec: 'plain job', steps });
    if (!plain.isAccepted) throw new Error('A plain job was not accepted.');
    await sleep(2_000);
    const { state } = await cluster.getState(ROUTE, plain.jobId);
    if (state !== 'completed') throw new Error('A plain job was not done.');

    // The disruption: jobs that run each minute for a year, instead of for an hour.
    const repeatCount = hasTrouble ? MINUTES_OF_A_YEAR : MINUTES_OF_AN_HOUR;
    for (let job = 0; job < JOB_COUNT; job += 1) {
      const schedule = {
        repeat_count: repeatCount,
        first_run_ms: Date.now() + MINUTE_MS,
        interval_ms: MINUTE_MS,
      };
      const body = { spec: `each minute ${job}`, steps, ...schedule };
      await cluster.submit(ROUTE, body, { daemon: job });
      await sleep(3_000);
    }
    await sleep(3_000);
    await cluster.getState(ROUTE, plain.jobId);

    const counts = cluster.daemons.map(
      ({ index }) => cluster.selfEnds.filter((end) => end.index === index).length,
    );
    cluster.note('ends by themselves, by daemon:', counts);
    const affected = counts.filter((count) => count >= ENDS_OF_A_MACHINE);
    return affected.length >= MACHINE_COUNT
      ? [
          `Fault: ${affected.length} of ${counts.length} daemons ended by themselves 3 times or more`,
        ]
      : [];
  },
);
