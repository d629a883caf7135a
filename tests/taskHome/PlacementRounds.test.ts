import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { NoMetrics } from '../../src/metrics/index.js';
import { ALL_MECHANISMS } from '../../src/systems/index.js';
import {
  PlacementRounds,
  type PlacementRoundsOptions,
} from '../../src/taskHome/PlacementRounds.js';
import { SystemClock } from '../../src/utils/index.js';

const ROUND_MS = 20;
const WATCHED_MS = 600;
/** Largest share of the time that rounds may take; the rest is for leases and callers. */
const MAX_SHARE = 0.25;

/** Blocks the event loop, as a round on a slow processor does. */
function blockEventLoop(forMs: number): void {
  const endsAtMs = performance.now() + forMs;
  while (performance.now() < endsAtMs);
}

describe('PlacementRounds', () => {
  // Guards against a home whose rounds leave no time to renew leases: its leases lapse, and it
  // falls further behind with each waiting job.
  it('leaves most of the time to everything else where rounds take long', async () => {
    let roundCount = 0;
    const listActive = (): readonly never[] => {
      roundCount += 1;
      blockEventLoop(ROUND_MS);
      return [];
    };
    const clock = new SystemClock();
    const rounds = new PlacementRounds({
      table: {
        listActive,
        advanceOccurrences: () => undefined,
        takeChanges: () => [],
        listUnstoredEnds: () => [],
        noteEndsStored: () => undefined,
      },
      writer: { whenIdle: async () => undefined, write: async () => undefined },
      runs: {},
      mechanisms: ALL_MECHANISMS,
      metrics: new NoMetrics(),
      clock,
      dueClock: clock,
    } as unknown as PlacementRoundsOptions);
    const endsAtMs = clock.monotonicMs() + WATCHED_MS;
    while (clock.monotonicMs() < endsAtMs) {
      void rounds.run();
      // eslint-disable-next-line no-await-in-loop -- reports come one after the other
      await sleep(1);
    }
    const workedMs = (roundCount - 1) * ROUND_MS;
    expect(workedMs).toBeLessThanOrEqual(MAX_SHARE * WATCHED_MS);
    expect(roundCount).toBeGreaterThan(2);
  });
});
