import { expect, it } from 'vitest';
import { followMean } from '../../src/utils/index.js';

it('goes a share of the way to each new value', () => {
  expect(followMean(100, 200, 0.2)).toBe(120);
  expect(followMean(100, 0, 0.25)).toBe(75);
  expect([followMean(100, 40, 0), followMean(100, 40, 1)]).toEqual([100, 40]);
});
