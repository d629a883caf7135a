import fc from 'fast-check';
import { beforeEach, expect, it } from 'vitest';
import { usedHeapBytes } from '../../bench/slopes/measureHeapKb.js';
import { decodeJob } from '../../platform/decodeJob.js';
import { toRattanliftError } from '../../src/errors/index.js';
import { HomeWorld, TERMS } from '../taskHome/HomeWorld.js';

/** Histories of one run; by hand more, with `JOB_BOUNDS_RUNS` and `JOB_BOUNDS_SEED`. */
const RUN_COUNT = Number(process.env.JOB_BOUNDS_RUNS ?? 60);
const SEED = Number(process.env.JOB_BOUNDS_SEED ?? 1);
const ANSWER_WITHIN_MS = 1_000;
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const MAX_BODY_BYTES = 262_144;

const extremeNumbers = fc.constantFrom<unknown>(
  ...[0, 1, -1, 0.5, 2, 9_999, 10_000, 10_001, 525_600, 10_000_000],
  ...[2 ** 31, Number.MAX_SAFE_INTEGER, 1e300, -1e300, '1', null],
);

const NUMERIC_STEP_FIELDS = [
  ...['count', 'cpu', 'mem_mb', 'gpu', 'estimate_ms', 'max_per_server', 'target_ms', 'may_miss'],
] as const;

const steps = fc.oneof(
  fc.array(
    fc
      .dictionary(fc.constantFrom(...NUMERIC_STEP_FIELDS), extremeNumbers, { maxKeys: 3 })
      .map((fields) => ({ count: 1, ...fields })),
    { minLength: 1, maxLength: 4 },
  ),
  fc
    .record({
      stepCount: fc.constantFrom(100, 1_000, 8_000),
      count: fc.constantFrom(1, 10, 10_000),
    })
    .map(({ stepCount, count }) => Array.from({ length: stepCount }, () => ({ count }))),
  fc
    .constantFrom(10, 300, 2_000)
    .map((stepCount) =>
      Array.from({ length: stepCount }, (_step, index) =>
        index === 0 ? { count: 1 } : { count: 1, after: [index - 1] },
      ),
    ),
);

const jobs = fc
  .record({
    steps,
    repeat_count: extremeNumbers,
    first_run_ms: extremeNumbers,
    interval_ms: extremeNumbers,
    spec: fc.constantFrom('', 'x'.repeat(4_000), 'x'.repeat(4_001)),
  })
  .map((job) => JSON.stringify(job))
  .filter((body) => body.length <= MAX_BODY_BYTES);

let world: HomeWorld;

beforeEach(() => {
  world = new HomeWorld();
  return () => world.close();
});

// Guards against a number in a request that sizes an allocation or a loop of its home.
it('answers any job within a second and in bounded memory, whatever its numbers', async () => {
  const home = await world.open();
  const heapBytesBefore = usedHeapBytes();
  let jobCount = 0;
  await fc.assert(
    fc.asyncProperty(jobs, async (body) => {
      jobCount += 1;
      const jobId = jobCount.toString(16).padStart(16, '0');
      const startedAtMs = performance.now();
      const submitted = async (): Promise<string> => {
        const nowMs = Date.now();
        await home.submit(decodeJob(Buffer.from(body), { jobId, terms: TERMS, nowMs }));
        return 'accepted';
      };
      const outcome = await submitted().catch((thrown: unknown) => toRattanliftError(thrown).kind);
      expect(['accepted', 'bad-request', 'job-too-large']).toContain(outcome);
      expect(performance.now() - startedAtMs).toBeLessThan(ANSWER_WITHIN_MS);
      expect(usedHeapBytes() - heapBytesBefore).toBeLessThan(MAX_GROWTH_BYTES);
      await home.cancel(jobId);
    }),
    { numRuns: RUN_COUNT, seed: SEED },
  );
});

it('names the field and the bound that a job exceeds, alike on each try', () => {
  const body = Buffer.from(JSON.stringify({ spec: '', steps: Array(3).fill({ count: 10_000 }) }));
  const origin = { jobId: '0'.repeat(16), terms: TERMS, nowMs: 0 };
  [1, 2].forEach(() =>
    expect(() => decodeJob(body, origin)).toThrow(
      expect.objectContaining({
        kind: 'bad-request',
        field: 'steps',
        message: expect.stringContaining('`count` of all steps together is at most 20000'),
      }),
    ),
  );
});
