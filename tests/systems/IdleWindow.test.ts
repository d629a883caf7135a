import { beforeEach, describe, expect, it } from 'vitest';
import { IdleWindow } from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';

const PASS_MS = 300;
/** Longer than the window, in milliseconds. */
const LONG_MS = 9_000;

describe('IdleWindow', () => {
  let clock: ManualClock;
  let window: IdleWindow;

  /** Records a count of the pool `pages` in each pass of a span. */
  function observe(count: number, spanMs: number): void {
    Array.from({ length: Math.ceil(spanMs / PASS_MS) }).forEach(() => {
      clock.advance(PASS_MS);
      window.record(new Map([['pages', count]]));
    });
  }

  beforeEach(() => {
    clock = new ManualClock();
    window = new IdleWindow(clock);
  });

  // Failure: a new home of the fleet switches off the VMs of a pool whose load peak it hasn't seen.
  it('has no counts until the window has been observed', () => {
    observe(5, 1_000);
    expect(window.getLeastCounts().get('pages')).toBeUndefined();
    observe(5, LONG_MS);
    expect(window.getLeastCounts().get('pages')).toBe(5);
  });

  it('counts the VMs that were idle at each moment', () => {
    observe(9, LONG_MS);
    observe(2, PASS_MS);
    observe(9, 1_000);
    expect(window.getLeastCounts().get('pages')).toBe(2);
    observe(9, LONG_MS);
    expect(window.getLeastCounts().get('pages')).toBe(9);
  });

  it('does not count VMs that are being switched off again', () => {
    observe(9, LONG_MS);
    window.noteMoved('pages', 8);
    observe(9, PASS_MS);
    expect(window.getLeastCounts().get('pages')).toBe(1);
  });

  // Failure: the home of a pool does not answer for 3 s, and its VMs go off by what it said before.
  it.each([
    ['its home did not answer', () => window.record(new Map())],
    ['nobody observed it', () => undefined],
  ])('starts anew for a pool after a time in which %s', (_name, pass) => {
    observe(9, LONG_MS);
    Array.from({ length: 10 }).forEach(() => {
      clock.advance(PASS_MS);
      pass();
    });
    observe(9, PASS_MS);
    expect(window.getLeastCounts().get('pages')).toBeUndefined();
  });
});
