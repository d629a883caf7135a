import { describe, expect, it } from 'vitest';
import type { Mechanism } from '../../src/systems/index.js';
import { type UnevenLoad, UnevenWorld } from './UnevenWorld.js';

const NEW_MECHANISMS: readonly Mechanism[] = [
  'slow-targets-avoided',
  'grey-targets-avoided',
  'late-runs-restarted',
];
const SEEDS = [1, 2, 3];
const FAULT_FROM_MS = 4_000;
const FAULT_UNTIL_MS = 10_000;
/** Sixteen targets of four tasks each; jobs of eight tasks of about 1 s ask for five eighths. */
const EVEN: UnevenLoad = {
  targetCount: 16,
  getSpeed: () => 1,
  getFailedShare: () => 0,
  intervalMs: 200,
  forMs: 18_000,
  off: [],
  seed: 1,
};

function isFault(nowMs: number): boolean {
  return nowMs >= FAULT_FROM_MS && nowMs < FAULT_UNTIL_MS;
}

function isUneven(index: number): boolean {
  return index === 1 || index === 9;
}

/** An eighth of the targets takes five times as long for 6 s. */
const SLOW: UnevenLoad = {
  ...EVEN,
  getSpeed: (index, nowMs) => (isUneven(index) && isFault(nowMs) ? 0.2 : 1),
};

/** An eighth of the targets fails half of its runs for 6 s. */
const GREY: UnevenLoad = {
  ...EVEN,
  getFailedShare: (index, nowMs) => (isUneven(index) && isFault(nowMs) ? 0.5 : 0),
};

/** Plays a load with each seed. */
function play(
  load: UnevenLoad,
): readonly { readonly world: UnevenWorld; readonly share: number }[] {
  return SEEDS.map((seed) => {
    const world = new UnevenWorld({ ...load, seed });
    return { world, share: world.play() };
  });
}

function getMeanShare(load: UnevenLoad): number {
  return play(load).reduce((sum, { share }) => sum + share, 0) / SEEDS.length;
}

function countFailedRuns(load: UnevenLoad): number {
  return play(load).reduce((sum, { world }) => sum + world.failedRunCount, 0);
}

function expectNothingAvoided(load: UnevenLoad): void {
  play(load).forEach(({ world }) => {
    expect(world.listUneven()).toEqual([]);
    expect(world.countEvents('runRestarted')).toBe(0);
  });
}

describe('while an eighth of the targets is five times slower', () => {
  // Failure: each job with a task on a slow target is late, as it is as late as its last task.
  it('halves the jobs that are late, by avoiding these targets and restarting late runs', () => {
    const lateShare = 1 - getMeanShare(SLOW);
    const lateWithoutRestarts = 1 - getMeanShare({ ...SLOW, off: ['late-runs-restarted'] });
    const lateWithout = 1 - getMeanShare({ ...SLOW, off: NEW_MECHANISMS });
    expect(lateShare).toBeLessThan(lateWithoutRestarts);
    expect(lateWithoutRestarts).toBeLessThan(lateWithout);
    expect(lateShare).toBeLessThan(lateWithout / 2);
  });

  it('finds these targets and no others', () => {
    play(SLOW).forEach(({ world }) => {
      expect(world.listUneven().toSorted()).toEqual(['t1', 't9']);
    });
  });

  // The other way that was weighed: a run of 1 s ends after 5 s there, with the fault nearly over.
  it('would learn too late from the ends of runs', () => {
    const byEnds = getMeanShare({ ...SLOW, showsOnlyEnds: true });
    expect(byEnds).toBeLessThan(getMeanShare(SLOW));
  });

  // Failure: a target that is back to speed stays avoided while jobs wait for room.
  it('lets them return once they are back to speed and jobs wait for room', () => {
    play({ ...SLOW, intervalMs: 110 }).forEach(({ world }) => {
      expect(world.countEvents('targetEvenAgain')).toBeGreaterThan(0);
    });
  });
});

describe('while an eighth of the targets fails half of its runs', () => {
  // Failure: a target that fails a part of its runs gets more of them, as successes clear it.
  it('loses fewer runs, and finds these targets and no others', () => {
    const failedCount = countFailedRuns(GREY);
    expect(failedCount).toBeLessThan(countFailedRuns({ ...GREY, off: NEW_MECHANISMS }));
    const found = play(GREY).flatMap(({ world }) => world.listUneven());
    expect([...new Set(found)].toSorted()).toEqual(['t1', 't9']);
  });
});

describe('avoids no target and restarts no run', () => {
  it('while run times differ only by themselves', () => expectNothingAvoided(EVEN));

  it('while more jobs come than the pool has room for', () =>
    expectNothingAvoided({ ...EVEN, intervalMs: 100 }));

  // Failure: estimates that are too short make every target look slow.
  it('while every task takes four times its estimate', () =>
    expectNothingAvoided({ ...EVEN, getSpeed: () => 0.25 }));

  // Failure: jobs that fail wherever they run make sound targets look failing.
  it('while each fifth job fails wherever it runs', () =>
    expectNothingAvoided({ ...EVEN, hopelessEach: 5 }));

  // Failure: the whole pool slows down, and targets that report first seem slow beside the rest.
  it('while all targets become slow at once', () =>
    expectNothingAvoided({ ...EVEN, getSpeed: (_index, nowMs) => (isFault(nowMs) ? 0.2 : 1) }));
});

// Failure: the whole pool slows down, and the targets that report first stay avoided.
it('lets targets return that seemed slow as the whole pool became slow', () => {
  const load: UnevenLoad = { ...EVEN, getSpeed: (_index, nowMs) => (isFault(nowMs) ? 0.2 : 1) };
  play(load).forEach(({ world }) => {
    expect(world.listUneven().length).toBeLessThanOrEqual(EVEN.targetCount / 3);
    expect(world.countEvents('targetEvenAgain')).toBe(world.listUneven().length);
    expect(world.listAvoided()).toEqual([]);
  });
});

// Failure: half of a pool is avoided, and the other half is flooded.
it('avoids none where half of the targets are slow', () => {
  const isHalf = (index: number): boolean => index % 2 === 1;
  play({ ...EVEN, getSpeed: (index) => (isHalf(index) ? 0.2 : 1) }).forEach(({ world }) => {
    expect(world.listUneven()).toHaveLength(EVEN.targetCount / 2);
    expect(world.listAvoided()).toEqual([]);
  });
});
