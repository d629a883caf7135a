import { describe, expect, it } from 'vitest';
import { HeldLease, type LeaseTiming } from '../../src/membership/index.js';
import type { Clock } from '../../src/utils/index.js';

const TIMING: LeaseTiming = {
  leaseMs: 5_000,
  renewEveryMs: 1_000,
  marginMs: 500,
  contenderStepMs: 400,
};

class TwoClocks implements Clock {
  monotonic = 0;

  wall = 0;

  monotonicMs(): number {
    return this.monotonic;
  }

  wallMs(): number {
    return this.wall;
  }
}

function isHeldAfter(passed: { readonly monotonicMs: number; readonly wallMs: number }): boolean {
  const clock = new TwoClocks();
  const lease = new HeldLease({ clock, timing: TIMING });
  lease.extend(lease.readClocks());
  clock.monotonic += passed.monotonicMs;
  clock.wall += passed.wallMs;
  return lease.isHeld();
}

describe('HeldLease', () => {
  describe('isHeld', () => {
    it('holds until the margin before the end', () => {
      expect(isHeldAfter({ monotonicMs: 4_499, wallMs: 4_499 })).toBe(true);
      expect(isHeldAfter({ monotonicMs: 4_500, wallMs: 4_499 })).toBe(false);
    });

    // Guards against a lease that survives a pause: a host pauses the VM of a home for a minute,
    // and another instance takes over the pool. The VM's monotonic clock stands still during the
    // pause; only the wall clock, which is corrected after the pause, shows the lost time.
    it('ends by the wall clock when a paused VM missed the monotonic one', () => {
      expect(isHeldAfter({ monotonicMs: 10, wallMs: 60_000 })).toBe(false);
    });

    it('ends by the monotonic clock when the wall clock was set back', () => {
      expect(isHeldAfter({ monotonicMs: 6_000, wallMs: -60_000 })).toBe(false);
    });
  });

  describe('getAgeMs', () => {
    // Guards against grants that outlast a paused home's right to them.
    it.each([
      [10, 60_000, 60_000],
      [6_000, -60_000, 6_000],
    ])('takes of %i and %i ms by its two clocks the longer one', (monotonic, wall, ageMs) => {
      const clock = new TwoClocks();
      const lease = new HeldLease({ clock, timing: TIMING });
      lease.extend(lease.readClocks());
      clock.monotonic += monotonic;
      clock.wall += wall;
      expect(lease.getAgeMs()).toBe(ageMs);
    });

    it('is infinite before the lease is held', () => {
      expect(new HeldLease({ clock: new TwoClocks(), timing: TIMING }).getAgeMs()).toBe(Infinity);
    });
  });

  describe('extend', () => {
    // The process sends a renewal, is paused before it reads the record back, and resumes after the
    // lease has expired for all other instances. If the lease counted from reading the record back,
    // it would seem to be held.
    it.each([
      ['monotonic', 7_000, 0],
      ['wall', 0, 7_000],
    ])('counts from before the renewal was sent, by the %s clock', (_name, monotonic, wall) => {
      const clock = new TwoClocks();
      const lease = new HeldLease({ clock, timing: TIMING });
      const sentAt = lease.readClocks();
      clock.monotonic = monotonic;
      clock.wall = wall;
      lease.extend(sentAt);
      expect(lease.isHeld()).toBe(false);
    });
  });
});
