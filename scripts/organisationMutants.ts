import type { Mutant } from './Mutant.js';

const LIMIT_TEST = 'tests/fleetHome/OrganisationLimits.test.ts';
const LIMIT_NAME = 'holds at every start in drawn histories of lost messages and replaced homes';
const KEY_TEST = 'tests/queues/authenticateCaller.test.ts';
const EDGE_TEST = 'tests/platformAdapter/createCallerEdge.test.ts';
const OTHERS_TEST = 'tests/taskHome/otherOrganisations.test.ts';

/** Guards of organisations' keys and limits that have a test of their own. */
export const ORGANISATION_MUTANTS: readonly Mutant[] = [
  {
    failure: 'starts above a limit, as an order without a reply was carried out',
    file: 'src/fleetHome/OrganisationLimits.ts',
    find: 'Math.max(used[name], told[name], maybe[name])',
    replace: 'Math.max(used[name], told[name])',
    test: LIMIT_TEST,
    name: LIMIT_NAME,
  },
  {
    failure: 'starts above a limit, as an unused part was given to another pool as well',
    file: 'src/fleetHome/OrganisationLimits.ts',
    find: 'Math.max(used[name], told[name], maybe[name])',
    replace: 'used[name]',
    test: LIMIT_TEST,
    name: LIMIT_NAME,
  },
  {
    failure: 'starts above a limit, as a new home of the fleet divides before all pools have told',
    file: 'src/fleetHome/OrganisationLimits.ts',
    find: 'if (allPools.some((pool) => !this.pools.has(pool))) return undefined;',
    replace: '',
    test: LIMIT_TEST,
    name: LIMIT_NAME,
  },
  {
    failure: 'starts above a limit, as an order arrives after a later one',
    file: 'src/taskHome/LimitParts.ts',
    find: 'if (known !== undefined && !isLater(order, known))',
    replace: 'if (false as boolean && known !== undefined)',
    test: LIMIT_TEST,
    name: LIMIT_NAME,
  },
  {
    failure: 'starts above a limit, as a new home of a pool takes the part of the one before',
    file: 'src/taskHome/LimitParts.ts',
    find: 'order.homeTerm === homeTerm',
    replace: 'true',
    test: LIMIT_TEST,
    name: LIMIT_NAME,
  },
  {
    failure: 'starts above a limit that has fallen',
    file: 'src/taskHome/LimitParts.ts',
    find: '|| isLower(own.limit, part.limit)',
    replace: '',
    test: LIMIT_TEST,
    name: 'starts nothing at a home that knows a lower limit than the one that was divided',
  },
  {
    failure: 'starts above a limit, as two pools are raised into the same room',
    file: 'src/systems/shareLimit.ts',
    find: 'Math.max(bound, part)',
    replace: 'part',
    test: LIMIT_TEST,
    name: LIMIT_NAME,
  },
  {
    failure: 'a call that has an effect under a withdrawn key',
    file: 'src/queues/authenticateCaller.ts',
    find: 'return organisation?.name !== caller.organisation;',
    replace: 'return false;',
    test: KEY_TEST,
    name: 'passes no call whose key the newer of the two configurations does not hold',
  },
  {
    failure: 'a call without a key that has an effect',
    file: 'src/queues/authenticateCaller.ts',
    find: "if (key === undefined || key === '') {",
    replace: "if (key === '') {",
    test: EDGE_TEST,
    name: 'refuses each call without a valid key with 401, no hint to retry, and no effect',
  },
  {
    failure: "another organisation's job that is shown",
    file: 'src/jobs/EndedJob.ts',
    find: ' || owner === organisation;',
    replace: ' || owner !== undefined;',
    test: OTHERS_TEST,
    name: 'are shown to the organisation alone, which alone can cancel them',
  },
  {
    failure: 'keys that pass without a bound on an instance that is alone',
    file: 'platform/createCallerEdge.ts',
    find: 'getConfigurationAgeMs() > maxKeyAgeMs',
    replace: 'false as boolean',
    test: EDGE_TEST,
    name: 'takes no key on an instance that has been alone for longer than the bound',
  },
];
