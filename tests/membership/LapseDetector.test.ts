import { describe, expect, it } from 'vitest';
import { LapseDetector, type LeaseTiming } from '../../src/membership/index.js';
import { FleetTables } from '../../src/tables/index.js';

const TIMING: LeaseTiming = {
  leaseMs: 5_000,
  renewEveryMs: 1_000,
  marginMs: 500,
  contenderStepMs: 0,
};
const WAIT_MS = TIMING.leaseMs + TIMING.marginMs;

function joinAt(fleet: FleetTables, instance: string, renewalOffset: number): void {
  const address = { host: '127.0.0.1', peerPort: 1, callerPort: 2, dataCentre: 'one' };
  fleet.instances.put({ instance, ...address, renewalOffset, state: 'joined' });
}

function createFleet(): FleetTables {
  const fleet = new FleetTables();
  ['a', 'b'].forEach((instance) => joinAt(fleet, instance, 1));
  return fleet;
}

function createDetector(): LapseDetector {
  return new LapseDetector({ instance: 'a', timing: TIMING });
}

describe('LapseDetector', () => {
  describe('findLapsed', () => {
    it('finds an instance that has not renewed its lease, with its last observed renewal', () => {
      const fleet = createFleet();
      const detector = createDetector();
      expect(detector.findLapsed(fleet.instances, 0, 0)).toEqual([]);
      expect(detector.findLapsed(fleet.instances, WAIT_MS - 1, WAIT_MS)).toEqual([]);
      expect(detector.findLapsed(fleet.instances, WAIT_MS, WAIT_MS)).toEqual([
        { instance: 'b', observedRenewalOffset: 1 },
      ]);
    });

    it('restarts the wait with each renewal', () => {
      const fleet = createFleet();
      const detector = createDetector();
      detector.findLapsed(fleet.instances, 0, 0);
      joinAt(fleet, 'b', 9);
      detector.findLapsed(fleet.instances, 4_000, 4_000);
      expect(detector.findLapsed(fleet.instances, WAIT_MS, WAIT_MS)).toEqual([]);
    });

    // This instance reads the log slowly. It has seen no renewal for six seconds, but its last read
    // that reached the log's end was sent three seconds ago, and the log holds an unread renewal.
    it('counts only to the last read that reached the end of the log', () => {
      const fleet = createFleet();
      const detector = createDetector();
      detector.findLapsed(fleet.instances, 0, 0);
      expect(detector.findLapsed(fleet.instances, 3_000, 6_000)).toEqual([]);
    });
  });

  describe('restart', () => {
    // No instance can renew during a log outage of one minute. The first instance to read the log
    // afterwards would end the leases of all others, and every pool would change homes.
    it('restarts every wait after an outage of the log', () => {
      const fleet = createFleet();
      const detector = createDetector();
      detector.findLapsed(fleet.instances, 0, 0);
      detector.restart();
      detector.findLapsed(fleet.instances, 60_000, 60_000);
      expect(detector.findLapsed(fleet.instances, 61_000, 61_000)).toEqual([]);
    });
  });
});
