import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { virtualTime } from '../taskHome/histories/VirtualTime.js';
import { configurationHistory } from './ConfigurationHistory.js';
import { ConfigurationHistoryWorld } from './ConfigurationHistoryWorld.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('../taskHome/histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

/** By hand: `CONFIGURATION_HISTORIES=500 CONFIGURATION_HISTORIES_SEED=1 npx vitest run ...`. */
const HISTORY_COUNT = Number(process.env.CONFIGURATION_HISTORIES ?? 10);
const SEED = Number(process.env.CONFIGURATION_HISTORIES_SEED ?? 1);
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 5_000;

describe(`drawn histories of configurations over a narrow link, seed ${SEED}`, () => {
  // Guards against versions that come late, or go back, as changes and cuts follow one another.
  it(
    'have each version in force in time, and none that goes back',
    async () => {
      const property = fc.asyncProperty(configurationHistory, async (history) => {
        const violations = await new ConfigurationHistoryWorld(virtualTime, history).play();
        expect(violations.slice(0, 5)).toEqual([]);
      });
      await fc.assert(property, { seed: SEED, numRuns: HISTORY_COUNT, unbiased: true });
    },
    TIMEOUT_MS,
  );
});
