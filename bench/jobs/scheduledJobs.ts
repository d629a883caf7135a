import type { DurableJobSpec } from '../../src/jobs/index.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { usedHeapBytes } from '../slopes/measureHeapKb.js';
import { HeldTargets } from './HeldTargets.js';
import { BENCH_RUN_MS, makeBenchJob, makeBenchStep } from './makeBenchJob.js';
import { clock, openBenchHome } from './openBenchHome.js';

/** Each minute of an hour, of fifty days, of a year and of nineteen years. */
const OCCURRENCE_COUNTS = [60, 72_000, 525_600, 10_000_000] as const;
const INTERVAL_MS = 60_000;
const BYTES_PER_KB = 1_024;
const JOB_COUNT = 1_000;
const TASK_COUNT = 10_000;

function makeScheduledJob(jobId: string, occurrenceCount: number): DurableJobSpec {
  const job = makeBenchJob(jobId, [makeBenchStep(1, 1)], clock.wallMs());
  const schedule = { occurrenceCount, firstDueAtMs: clock.wallMs(), intervalMs: INTERVAL_MS };
  return { ...job, schedule };
}

function formatMsSince(startedAtMs: number): string {
  return `${(clock.monotonicMs() - startedAtMs).toFixed(1)} ms`;
}

/** Tells what some jobs cost to accept, to store, to read again, and in memory. */
async function measureJobs(jobs: readonly DurableJobSpec[]): Promise<string> {
  const store = new StoreStandIn({ partitionCount: 1 });
  const targets = new HeldTargets(clock, BENCH_RUN_MS);
  const parts = { store, targets, entries: new Map() };
  const home = await openBenchHome(parts);
  const submittedAtMs = clock.monotonicMs();
  await Promise.all(jobs.map((job) => home.submit(job)));
  const accepted = formatMsSince(submittedAtMs);
  home.close();
  const { records } = await store.readNewest('jobs', 0);
  const storedBytes = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
  const beforeBytes = usedHeapBytes();
  const openedAtMs = clock.monotonicMs();
  const next = await openBenchHome(parts);
  next.tick();
  const opened = formatMsSince(openedAtMs);
  const heapKb = ((usedHeapBytes() - beforeBytes) / BYTES_PER_KB).toFixed(0);
  const state = next.getState(jobs[0]!.jobId);
  next.close();
  return `accepted in ${accepted}, ${storedBytes} bytes stored, read in ${opened}, ${heapKb} kB, ${state}`;
}

const cases: readonly (readonly [name: string, jobs: readonly DurableJobSpec[]])[] = [
  ...OCCURRENCE_COUNTS.map(
    (count) => [`one job of ${count} occurrences`, [makeScheduledJob('job', count)]] as const,
  ),
  [
    `${JOB_COUNT} jobs of ${OCCURRENCE_COUNTS.at(-1)} occurrences`,
    Array.from({ length: JOB_COUNT }, (_job, index) =>
      makeScheduledJob(`job-${index}`, OCCURRENCE_COUNTS.at(-1)!),
    ),
  ],
  [`one job of ${TASK_COUNT} tasks`, [makeBenchJob('wide', [makeBenchStep(TASK_COUNT, 1)], 0)]],
];
await cases.reduce<Promise<void>>(async (before, [name, jobs]) => {
  await before;
  console.log(`${name}: ${await measureJobs(jobs)}`);
}, Promise.resolve());
process.exit(0);
