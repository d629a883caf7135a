import { expect, it, vi } from 'vitest';
import type { LostTaskHistory, LostTaskStep } from './histories/LostTaskHistory.js';
import { LostTaskHistoryWorld } from './histories/LostTaskHistoryWorld.js';
import { virtualTime } from './histories/VirtualTime.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('./histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

/** The platform allows 6 s and 3 s from the end of a run until the next one of a service. */
const MAX_DOWN_MS = 9_000;
/** How long a home works before planned restarts give its partition to the next instance. */
const HOME_LIFE_MS = 600;
/** Time until the next instance has claimed the partition, and to read it. */
const NEXT_AFTER_MS = 400;
const READ_MS = 200;
/** Longer than any wait for a lease. */
const AFTERWARDS_MS = 8_000;

function makeHistory(changeCount: number): LostTaskHistory {
  const change: readonly LostTaskStep[] = [
    { type: 'wait', forMs: HOME_LIFE_MS },
    { type: 'kill-homes', nextAfterMs: NEXT_AFTER_MS, readMs: READ_MS },
    { type: 'wait', forMs: NEXT_AFTER_MS + READ_MS },
  ];
  return {
    maxTasksPerTarget: 4,
    jobs: [],
    steps: [
      {
        type: 'silence',
        targets: [0],
        how: 'crashed',
        forMs: undefined,
        entry: { type: 'stays' },
      },
      ...Array.from({ length: changeCount }, () => change).flat(),
      { type: 'wait', forMs: AFTERWARDS_MS },
    ],
    calmChangesAfterMs: [],
  };
}

/** Measures how long tasks of a service were down that ran on the lost target. */
async function measureDown(history: LostTaskHistory): Promise<number> {
  const world = new LostTaskHistoryWorld(virtualTime);
  expect(await world.play(history)).toEqual([]);
  const { runs } = world.watch;
  const lost = runs.filter(({ endedAtMs }) => endedAtMs !== undefined);
  const downMs = lost.map(({ taskName, run, endedAtMs }) => {
    const next = runs.find((later) => later.taskName === taskName && later.run > run);
    return (next?.begunAtMs ?? Infinity) - endedAtMs!;
  });
  return Math.max(...downMs);
}

// Guards against a task that runs nowhere while planned restarts give its home on again and again.
it.each([1, 3, 6, 9])(
  'waits no longer for a lease, though homes that have read their jobs follow one another (%i)',
  async (changeCount) => {
    expect(await measureDown(makeHistory(changeCount))).toBeLessThanOrEqual(MAX_DOWN_MS);
  },
);
