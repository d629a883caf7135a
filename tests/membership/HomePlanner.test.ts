import { describe, expect, it } from 'vitest';
import { HomePlanner } from '../../src/membership/index.js';
import { FleetTables } from '../../src/tables/index.js';
import { rankByRendezvous } from '../../src/utils/index.js';

const POOLS = Array.from({ length: 40 }, (_none, index) => `team/pool-${index}`);
const NAMES = ['a', 'b', 'c'];

function createFleet(names: readonly string[], home?: string): FleetTables {
  const fleet = new FleetTables();
  const address = { host: '127.0.0.1', peerPort: 1, callerPort: 2, dataCentre: 'one' };
  names.forEach((instance) =>
    fleet.instances.put({ instance, ...address, renewalOffset: 1, state: 'joined' }),
  );
  POOLS.forEach((pool) => fleet.homes.put({ pool, instance: home, term: 3 }));
  return fleet;
}

function createPlanner(instance: string): HomePlanner {
  return new HomePlanner({ instance, candidateStepMs: 500, settleMs: 2_000 });
}

describe('HomePlanner', () => {
  describe('decide', () => {
    it('gives every vacant pool to exactly one instance at once', () => {
      const fleet = createFleet(NAMES);
      const claimed = NAMES.flatMap((name) => createPlanner(name).decide(fleet, 0));
      expect(claimed.map(({ pool }) => pool).toSorted()).toEqual(POOLS.toSorted());
    });

    // An instance has joined and died, and its lease has not lapsed yet. The pools that it should
    // claim must not stay vacant until then.
    it('lets the next candidate claim when the first one does not', () => {
      const fleet = createFleet(NAMES);
      const planner = createPlanner('a');
      planner.decide(fleet, 0);
      expect(planner.decide(fleet, 1_000)).toHaveLength(POOLS.length);
    });

    it('releases only the pools of a newly joined instance, after the settle time', () => {
      const fleet = createFleet(NAMES, 'a');
      const planner = createPlanner('a');
      expect(planner.decide(fleet, 0)).toEqual([]);
      const released = planner.decide(fleet, 2_000).map(({ pool }) => pool);
      const expected = POOLS.filter((pool) => rankByRendezvous(pool, NAMES)[0] !== 'a');
      expect(released).toEqual(expected);
    });

    it('decides nothing while this instance is not joined', () => {
      expect(createPlanner('z').decide(createFleet(NAMES), 0)).toEqual([]);
    });
  });
});
