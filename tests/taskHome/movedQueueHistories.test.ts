import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import { describe, it } from 'vitest';
import { INSTANCE_COUNT, MovedQueueWorld, POOLS } from './MovedQueueWorld.js';

/** By hand: `MOVED_QUEUE_HISTORIES=2000 MOVED_QUEUE_SEED=7 npx vitest run tests/taskHome/moved`. */
const HISTORY_COUNT = Number(process.env.MOVED_QUEUE_HISTORIES ?? 60);
const SEED = Number(process.env.MOVED_QUEUE_SEED ?? 1);
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 4_000;
/** Histories that are played side by side; nearly all of their time is spent waiting. */
const BATCH_SIZE = 20;
const JOB_IDS = ['a', 'b', 'c'];
/** Versions that an entry may not have heard of. */
const LONGEST_LAG = 2;
const LONGEST_PAUSE_MS = 30;

const jobId = fc.constantFrom(...JOB_IDS);
const pool = fc.constantFrom(...POOLS);
const pauseMs = fc.integer({ min: 0, max: LONGEST_PAUSE_MS });
const instance = fc.integer({ min: 0, max: INSTANCE_COUNT - 1 });
const lag = fc.integer({ min: 0, max: LONGEST_LAG });

/** What happens after a pause, beside what is still under way. */
const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ type: fc.constant('submit' as const), pauseMs, jobId, lag }),
  },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('move' as const), pauseMs, pool }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('read' as const), pauseMs, jobId }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('cancel' as const), pauseMs, jobId }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('replace' as const), pauseMs, pool, instance }),
  },
);
const history = fc.record({
  seed: fc.integer({ min: 0 }),
  steps: fc.array(step, { minLength: 8, maxLength: 32 }),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
type History = typeof history extends fc.Arbitrary<infer Value> ? Value : never;

/** Plays one history and notes what callers are told. */
class HistoryPlay {
  private readonly world: MovedQueueWorld;

  private readonly accepted = new Set<string>();

  private readonly cancelled = new Set<string>();

  private readonly violations: string[] = [];

  constructor(seed: number) {
    this.world = new MovedQueueWorld(seed);
  }

  async play(steps: readonly Step[]): Promise<readonly string[]> {
    await this.world.start();
    const calls: Promise<void>[] = [];
    await steps.reduce(async (before, each) => {
      await before;
      await sleep(each.pauseMs);
      calls.push(this.take(each).catch(() => undefined));
    }, Promise.resolve());
    await Promise.all(calls);
    await Promise.all(JOB_IDS.map((id) => this.checkEnd(id)));
    this.world.close();
    return this.violations;
  }

  private async take(each: Step): Promise<void> {
    if (each.type === 'move') this.world.move(each.pool);
    else if (each.type === 'replace') await this.world.replaceHome(each.pool, each.instance);
    else await this.call(each);
  }

  private async call(
    each: Extract<Step, { readonly type: 'submit' | 'read' | 'cancel' }>,
  ): Promise<void> {
    const { type, jobId: id } = each;
    const wasAccepted = this.accepted.has(id);
    if (type === 'submit') {
      await this.world.submit(id, each.lag);
      this.accepted.add(id);
      return;
    }
    const isKnown =
      type === 'read' ? (await this.world.getState(id)) !== undefined : await this.world.cancel(id);
    if (wasAccepted && !isKnown) this.violations.push(`${type}: ${id} was denied`);
    if (type === 'cancel' && isKnown) this.cancelled.add(id);
  }

  private async checkEnd(id: string): Promise<void> {
    const pools = await this.world.listStoredIn(id);
    if (pools.length > 1) this.violations.push(`${id} is stored in ${pools.join(' and ')}`);
    if (!this.accepted.has(id)) return;
    const state = await this.world.getState(id);
    const expected = this.cancelled.has(id) ? 'cancelled' : 'queued';
    if (state !== expected) this.violations.push(`${id} is ${state}, not ${expected}`);
  }
}

async function findViolations(played: History): Promise<string | undefined> {
  const violations = await new HistoryPlay(played.seed).play(played.steps);
  return violations.length === 0 ? undefined : [...violations, JSON.stringify(played)].join('\n');
}

describe(`drawn histories of a queue that is moved, seed ${SEED}`, () => {
  // Guards against a job that two pools accept, that is denied, or that goes on after its cancel.
  it(
    'keeps each job one job, found at every time, whatever versions entries know',
    async () => {
      const histories = fc.sample(history, { seed: SEED, numRuns: HISTORY_COUNT });
      const batches = Array.from(
        { length: Math.ceil(histories.length / BATCH_SIZE) },
        (_n, place) => histories.slice(place * BATCH_SIZE, (place + 1) * BATCH_SIZE),
      );
      await batches.reduce(async (before, batch) => {
        await before;
        const results = await Promise.all(batch.map(findViolations));
        const found = results.find((result) => result !== undefined);
        if (found !== undefined) throw new Error(found);
      }, Promise.resolve());
    },
    TIMEOUT_MS,
  );
});
