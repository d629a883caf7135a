import { describe, expect, it } from 'vitest';
import { estimateTargetPace, type RunPace } from '../../src/systems/estimateTargetPace.js';

/** An objective leaves about 1.6 times the chain of work. */
const MIN_BEARABLE_SHARE = 1 / 1.6;

function makePaces(
  count: number,
  share: number,
  basis: RunPace['basis'],
  stepCount = 1,
): readonly RunPace[] {
  return Array.from({ length: count }, (_none, index) => ({
    stepKey: `a.0.${index % stepCount}`,
    share,
    basis,
  }));
}

function isSlow(paces: readonly RunPace[]): boolean {
  return estimateTargetPace(paces)!.upperShare < MIN_BEARABLE_SHARE;
}

describe('estimateTargetPace', () => {
  it('tells nothing without runs', () => {
    expect(estimateTargetPace([])).toBeUndefined();
  });

  it.each([
    ['one run that is five times slower than its peers', makePaces(1, 0.2, 'peers')],
    ['one run that takes five times its estimate', makePaces(1, 0.2, 'estimate')],
    ['six runs at half of the pace of their peers', makePaces(6, 0.5, 'peers')],
  ])('is sure that a target is slow by %s', (_name, paces) => {
    expect(isSlow(paces)).toBe(true);
  });

  it.each([
    ['one run at half of the pace of its peers', makePaces(1, 0.5, 'peers')],
    ['one of the longest tasks beside peers that are short', makePaces(1, 0.67 / 1.33, 'peers')],
    ['ten tasks of one step that take twice the estimate', makePaces(10, 0.5, 'estimate')],
    ['runs a third slower than their peers', makePaces(20, 0.67, 'peers')],
  ])('is not sure by %s', (_name, paces) => {
    expect(isSlow(paces)).toBe(false);
  });

  it('is sure by many steps that take twice their estimates and more', () => {
    expect(isSlow(makePaces(12, 0.45, 'estimate', 12))).toBe(true);
  });
});
