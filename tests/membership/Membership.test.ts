import { describe, expect, it } from 'vitest';
import type { LogWriter, WriteResult } from '../../src/log/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { DEFAULT_LEASE_TIMING, Membership } from '../../src/membership/index.js';
import { NoMetrics } from '../../src/metrics/index.js';
import { FleetTables } from '../../src/tables/index.js';
import { ManualClock } from '../../src/utils/index.js';

const SELF = { instance: 'a', host: '127.0.0.1', peerPort: 1, callerPort: 2, dataCentre: 'one' };
const ACCEPTED: WriteResult = { type: 'accepted', offset: 0 };

interface OpenWrite {
  readonly type: string;
  readonly settle: (result: WriteResult) => void;
}

/** Creates a joined instance whose later writes stay pending until the test settles them. */
async function createJoined() {
  const tables = new FleetTables();
  const clock = new ManualClock(1_000_000);
  const writes: OpenWrite[] = [];
  const writer: Pick<LogWriter, 'write'> = {
    write: ({ type }) =>
      new Promise((settle) => {
        writes.push({ type, settle });
      }),
  };
  const membership = new Membership({
    self: SELF,
    tables,
    writer,
    clock,
    events: new MemoryEventLog(),
    metrics: new NoMetrics(),
    timing: DEFAULT_LEASE_TIMING,
    getReadToEndAtMs: () => clock.monotonicMs(),
  });
  const settle = async (type: string): Promise<void> => {
    writes.find((write) => write.type === type)!.settle(ACCEPTED);
    await new Promise(setImmediate);
  };
  membership.tick();
  tables.instances.put({ ...SELF, renewalOffset: 0, state: 'joined' });
  await settle('instance-joined');
  return { membership, clock, settle };
}

describe('Membership', () => {
  // A daemon is stopped while a renewal of its lease is in flight. It leaves, another instance
  // takes over its pools, and only then is the renewal read back. The lease was held again for
  // almost 5 s and allowed everything that it protects, such as a reboot in a wave.
  it('holds no lease after it has left, even if a renewal is read back later', async () => {
    const { membership, clock, settle } = await createJoined();
    expect(membership.holdsLease()).toBe(true);
    clock.advance(DEFAULT_LEASE_TIMING.renewEveryMs);
    membership.tick();
    const left = membership.leave(clock.monotonicMs() + DEFAULT_LEASE_TIMING.leaseMs);
    expect(membership.holdsLease()).toBe(false);
    await settle('instance-renewed');
    expect(membership.holdsLease()).toBe(false);
    await settle('instance-left');
    await left;
    expect(membership.holdsLease()).toBe(false);
  });
});
