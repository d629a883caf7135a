import { expect, it } from 'vitest';
import {
  areOfSameTarget,
  formatLifetimeId,
  mayBeSameLifetime,
  parseLifetimeId,
} from '../../src/targets/index.js';

// Guards against a target that is called by another id, as its own looks like that of a lifetime.
it.each([
  { instance: 'i-1', bornAtMs: undefined },
  { instance: 'i-1', bornAtMs: 0 },
  { instance: 'i@1', bornAtMs: 1_750_000_000_000 },
  { instance: 'i-1', bornAtMs: -5 },
  { instance: 'i@1', bornAtMs: undefined },
  { instance: 'i@', bornAtMs: undefined },
])('reads the id of a lifetime that it has written: %o', (lifetime) => {
  expect(parseLifetimeId(formatLifetimeId(lifetime))).toEqual(lifetime);
});

it('tells lifetimes of one target from those of another', () => {
  expect(areOfSameTarget('i-1@1', 'i-1@2')).toBe(true);
  expect(areOfSameTarget('i-1@1', 'i-1')).toBe(true);
  expect(areOfSameTarget('i-1@1', 'i-1@1')).toBe(false);
  expect(areOfSameTarget('i-1@1', 'i-2@1')).toBe(false);
});

it.each([
  ['i-1@1', 'i-1@1', true],
  ['i-1@1', 'i-1', true],
  ['i-1', 'i-1@1', true],
  ['i-1@1', 'i-1@2', false],
  ['i-1@1', 'i-2@1', false],
  ['i-1@1', undefined, false],
  [undefined, undefined, true],
])('tells whether %s and %s may be one lifetime: %s', (targetId, otherId, isSame) => {
  expect(mayBeSameLifetime(targetId, otherId)).toBe(isSame);
});
