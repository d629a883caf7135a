import { beforeEach, describe, expect, it } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { OpeningWatch } from '../../src/taskHome/OpeningWatch.js';
import { ManualClock } from '../../src/utils/index.js';

const OPENING = { hasOpenHome: false, isOpening: true };
/** Longer than the wait for progress on the link of the test, in milliseconds. */
const LONG_MS = 10_000;
const FIRST_AWAY_MS = 3_000;

describe('OpeningWatch', () => {
  let clock: ManualClock;
  let watch: OpeningWatch;

  beforeEach(() => {
    clock = new ManualClock();
    watch = new OpeningWatch({ clock, events: new MemoryEventLog(), linkMbps: 10 });
  });

  /** Lets openings fail for long. */
  function failForLong(): void {
    watch.noteFailure();
    clock.advance(LONG_MS);
    watch.noteFailure();
  }

  it('stays away for longer each time, until there is progress', () => {
    failForLong();
    expect(watch.mayHold(OPENING)).toBe(false);
    clock.advance(FIRST_AWAY_MS);
    expect(watch.mayHold(OPENING)).toBe(true);
    failForLong();
    expect(watch.mayHold(OPENING)).toBe(false);
    clock.advance(FIRST_AWAY_MS);
    expect(watch.mayHold(OPENING)).toBe(false);
    clock.advance(FIRST_AWAY_MS);
    watch.noteProgress();
    failForLong();
    expect(watch.mayHold(OPENING)).toBe(false);
    clock.advance(FIRST_AWAY_MS);
    expect(watch.mayHold(OPENING)).toBe(true);
  });

  // Guards against pools that lose their home for the sake of another that no instance can open.
  it('keeps an instance with an open home', () => {
    failForLong();
    expect(watch.mayHold({ hasOpenHome: true, isOpening: true })).toBe(true);
  });

  // Guards against partitions that change hands while a narrow link carries them page by page.
  it('keeps an instance that reads pages between failures', () => {
    failForLong();
    watch.noteProgress();
    watch.noteFailure();
    expect(watch.mayHold(OPENING)).toBe(true);
  });

  it('forgets failures of a partition that has gone elsewhere', () => {
    watch.noteFailure();
    expect(watch.mayHold({ hasOpenHome: false, isOpening: false })).toBe(true);
    clock.advance(LONG_MS);
    expect(watch.mayHold(OPENING)).toBe(true);
  });
});
