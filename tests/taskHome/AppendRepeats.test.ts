import { describe, expect, it } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { AppendRepeats } from '../../src/taskHome/AppendRepeats.js';
import { ManualClock } from '../../src/utils/index.js';

const PLACE = { topic: 'jobs', partition: 4, term: 3 };

describe('AppendRepeats', () => {
  it('logs once a second how often an append has been repeated, and why last', () => {
    const events = new MemoryEventLog();
    const clock = new ManualClock();
    const repeats = new AppendRepeats({ ...PLACE, clock, events });
    repeats.begin(7);
    Array.from({ length: 10 }).forEach((_none, index) => {
      clock.advance(250);
      repeats.noteFailure(`reason ${index + 1}`);
    });
    expect(events.events.map(({ fields }) => fields)).toEqual([
      { ...PLACE, recordCount: 7, attemptCount: 4, forMs: 1_000, reason: 'reason 4' },
      { ...PLACE, recordCount: 7, attemptCount: 8, forMs: 2_000, reason: 'reason 8' },
    ]);
  });

  it('counts anew with each append', () => {
    const events = new MemoryEventLog();
    const clock = new ManualClock();
    const repeats = new AppendRepeats({ ...PLACE, clock, events });
    Array.from({ length: 5 }).forEach(() => {
      repeats.begin(1);
      clock.advance(500);
      repeats.noteFailure('slow');
    });
    expect(events.events).toEqual([]);
  });
});
