import { describe, expect, it } from 'vitest';
import { type LateRun, planRestart } from '../../src/systems/index.js';

/** A task of 1 s on a target that is five times slower, a second after its start. */
const LATE: LateRun = {
  progressPercent: 20,
  donePercent: 20,
  elapsedMs: 1_000,
  wholeElsewhereMs: 1_000,
  isCheckpointing: false,
};

describe('planRestart', () => {
  it('starts a task again that has most of its work left', () => {
    const rest = planRestart(LATE);
    expect(rest.hereMs).toBe(4_000);
    expect(rest.elsewhereMs).toBe(1_500);
    expect(rest.isSoonerElsewhere).toBe(true);
  });

  it('starts a task again that makes no progress', () => {
    expect(planRestart({ ...LATE, donePercent: 0 }).isSoonerElsewhere).toBe(true);
  });

  it('lets a task end that is nearly done', () => {
    expect(planRestart({ ...LATE, progressPercent: 80 }).isSoonerElsewhere).toBe(false);
  });

  it('continues a task elsewhere from the checkpoint that its stop saves', () => {
    const long = { ...LATE, progressPercent: 60, donePercent: 5, wholeElsewhereMs: 8_000 };
    expect(planRestart(long).isSoonerElsewhere).toBe(false);
    expect(planRestart({ ...long, isCheckpointing: true }).isSoonerElsewhere).toBe(true);
  });
});
