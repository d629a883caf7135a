import { describe, expect, it } from 'vitest';
import { RunPaces } from '../../src/systems/index.js';

const KEY = { taskName: 'a.0.0.0', run: 1, targetId: 't1' };

describe('RunPaces', () => {
  it('tells nothing by reports that are close to each other', () => {
    const paces = new RunPaces();
    paces.note(KEY, { atTargetMs: 0, progressPercent: 0 });
    expect(paces.note(KEY, { atTargetMs: 100, progressPercent: 10 })).toBeUndefined();
  });

  it('measures the last one to two seconds, so that a target back to speed shows soon', () => {
    const paces = new RunPaces();
    const seconds = [0, 1, 2, 3, 4, 5];
    seconds.forEach((second) =>
      paces.note(KEY, { atTargetMs: second * 1_000, progressPercent: second * 2 }),
    );
    paces.note(KEY, { atTargetMs: 6_000, progressPercent: 30 });
    const span = paces.note(KEY, { atTargetMs: 7_000, progressPercent: 50 })!;
    expect(span.elapsedMs).toBeLessThanOrEqual(2_000);
    expect(span.donePercent / span.elapsedMs).toBeCloseTo(0.02);
  });

  it('begins anew with the next run of a task', () => {
    const paces = new RunPaces();
    paces.note(KEY, { atTargetMs: 0, progressPercent: 0 });
    const next = { ...KEY, run: 2, targetId: 't2' };
    expect(paces.note(next, { atTargetMs: 50_000, progressPercent: 0 })).toBeUndefined();
  });
});
