import { describe, expect, it } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { UnopenedPartitions } from '../../src/taskHome/UnopenedPartitions.js';
import { ManualClock } from '../../src/utils/index.js';

function create() {
  const events = new MemoryEventLog();
  const clock = new ManualClock();
  const unopened = new UnopenedPartitions({ clock, events, isLeaseHeld: () => false });
  return { clock, events, unopened };
}

const CLAIMING = { partition: 4, phase: 'claiming', recordCount: 0 } as const;
const READING = { partition: 5, phase: 'reading', recordCount: 12 } as const;

describe('UnopenedPartitions', () => {
  it('logs the partitions that have had no open home for more than 2 s, once a second', () => {
    const { clock, events, unopened } = create();
    unopened.check([READING]);
    clock.advance(1_000);
    unopened.check([CLAIMING, READING]);
    clock.advance(1_000);
    unopened.check([CLAIMING, READING]);
    expect(events.events).toEqual([]);
    clock.advance(500);
    unopened.check([CLAIMING, READING]);
    clock.advance(900);
    unopened.check([CLAIMING, READING]);
    clock.advance(100);
    unopened.check([CLAIMING, READING]);
    const fields = { phase: 'reading', recordCount: 12, isLeaseHeld: false };
    expect(events.events).toEqual([
      {
        event: 'partitionsUnopened',
        fields: { ...fields, partitionCount: 1, partitions: ['5'], longestMs: 2_500 },
      },
      {
        event: 'partitionsUnopened',
        fields: { ...fields, partitionCount: 2, partitions: ['5', '4'], longestMs: 3_500 },
      },
    ]);
  });

  it('counts anew once a partition has been open', () => {
    const { clock, events, unopened } = create();
    unopened.check([CLAIMING]);
    clock.advance(1_900);
    unopened.check([]);
    unopened.check([CLAIMING]);
    clock.advance(1_900);
    unopened.check([CLAIMING]);
    expect(events.events).toEqual([]);
  });
});
