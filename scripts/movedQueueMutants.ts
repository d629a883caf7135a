import type { Mutant } from './Mutant.js';

const HOME_TEST = 'tests/taskHome/movedQueues.test.ts';
const POOLS_TEST = 'tests/queues/QueuePools.test.ts';
const NODE_TEST = 'tests/jobNode/movedQueues.test.ts';
const HISTORIES_TEST = 'tests/taskHome/movedQueueHistories.test.ts';

/** Guards of jobs whose queue is moved to another pool. */
export const MOVED_QUEUE_MUTANTS: readonly Mutant[] = [
  {
    failure: 'a second job: an entry that is behind submits it where the queue was',
    file: 'src/taskHome/JobSubmissions.ts',
    find: 'await moves.close(queue);',
    replace: 'await Promise.resolve();',
    test: HOME_TEST,
    name: 'is closed where it was to entries that are behind, also at the next home',
  },
  {
    failure: 'a second job: the next home does not know that the queue is closed',
    file: 'src/taskHome/QueueMoves.ts',
    find: 'this.closedVersions.set(queueKey, configurationVersion),',
    replace: 'this.closedVersions.set(queueKey, -configurationVersion),',
    test: HOME_TEST,
    name: 'is closed where it was to entries that are behind, also at the next home',
  },
  {
    failure: 'a second job: a queue that is back takes no notice of the pool that it had meanwhile',
    file: 'src/taskHome/QueueMoves.ts',
    find: 'version !== undefined && version >= this.getClosedVersion(queue)',
    replace: 'version !== undefined',
    test: HOME_TEST,
    name: 'asks the pool that it had meanwhile once it is back',
  },
  {
    failure: 'a job that is stored after a later pool was told that it never will be',
    file: 'src/taskHome/JobSubmissions.ts',
    find: 'moves.assertOpen(terms);',
    replace: '',
    test: HOME_TEST,
    name: 'does not store it once it has denied it',
  },
  {
    failure: 'a second job: a pool between is closed to the version of an entry that is behind',
    file: 'src/taskHome/QueueMoves.ts',
    find: 'queuePools.getVersion(queue) ?? configurationVersion',
    replace: 'configurationVersion',
    test: HOME_TEST,
    name: 'closes other pools by the version of the pool that accepts a job, not by that of its entry',
  },
  {
    failure: 'a second job: a search counts that was made before the latest registration',
    file: 'src/taskHome/JobSubmissions.ts',
    find: 'search === undefined || search.configurationVersion < needed.configurationVersion',
    replace: 'search === undefined',
    test: HOME_TEST,
    name: 'wants a search anew that was made before its latest registration',
  },
  {
    failure: 'a denial before the closing is stored',
    file: 'src/taskHome/QueueMoves.ts',
    find: 'await writer.write([]);\n      return;',
    replace: 'return;',
    test: HOME_TEST,
    name: 'stores that the queue is closed before it denies a job',
  },
  {
    failure: 'an accepted job that is denied while its pool does not answer',
    file: 'src/taskHome/JobGateway.ts',
    find: "if (failed?.status === 'rejected') throw toRattanliftError(failed.reason);",
    replace: '',
    test: HOME_TEST,
    name: 'denies no job while an earlier pool does not answer',
  },
  {
    failure: 'a second job: a home registers its pool after a later one',
    file: 'src/queues/QueuePools.ts',
    find: 'if (getOtherVersion(this.getVersions(getQueueKey(queue)), queue.pool) <= version) return;',
    replace: 'if (version >= 0) return;',
    test: POOLS_TEST,
    name: 'refuses to register a pool after a later version has sent the queue elsewhere',
  },
  {
    failure: 'a second job: a refused registration counts as one',
    file: 'src/queues/QueuePools.ts',
    find: 'return isNewest ? version : undefined;',
    replace: 'return version;',
    test: HISTORIES_TEST,
    name: 'keeps each job one job, found at every time, whatever versions entries know',
  },
  {
    failure: 'a version that falls by an append that is carried out late',
    file: 'src/queues/QueuePools.ts',
    find: 'versions.set(pool, Math.max(known, configurationVersion));',
    replace: 'versions.set(pool, configurationVersion);',
    test: POOLS_TEST,
    name: 'keeps the highest version of a pool',
  },
  {
    failure: 'a job without a home, as its pool is no longer configured',
    file: 'src/jobNode/KnownPools.ts',
    find: 'return [...new Set([...this.seenPools, ...queuePools.listPools()])];',
    replace: 'return configuration.pools.map(({ pool }) => pool);',
    test: NODE_TEST,
    name: 'goes on where the earlier pool is no longer configured, also at the next home',
  },
  {
    failure: 'a queue that looks empty while its jobs wait in its earlier pool',
    file: 'src/taskHome/JobTable.ts',
    find: '(address !== undefined && terms.address === address)',
    replace: 'false',
    test: NODE_TEST,
    name: 'counts as pending until it begins',
  },
];
