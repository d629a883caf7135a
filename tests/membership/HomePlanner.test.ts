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

describe('HomeKeeper', () => {
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
      const keeper = createPlanner('a');
      keeper.decide(fleet, 0);
      expect(keeper.decide(fleet, 1_000)).toHaveLength(POOLS.length);
    });

    it('hands on only the pools of an instance that joined, once it has settled', () => {
      const fleet = createFleet(NAMES, 'a');
      const keeper = createPlanner('a');
      expect(keeper.decide(fleet, 0)).toEqual([]);
      const released = keeper.decide(fleet, 2_000).map(({ pool }) => pool);
      const owed = POOLS.filter((pool) => rankByRendezvous(pool, NAMES)[0] !== 'a');
      expect(released).toEqual(owed);
    });

    it('decides nothing while this instance is not joined', () => {
      expect(createPlanner('z').decide(createFleet(NAMES), 0)).toEqual([]);
    });
  });
});
