import { expect, it } from 'vitest';
import { PoolPartitions } from '../../src/taskHome/index.js';
import { makeEntry } from './HomeWorld.js';

// Guards against calls to addresses outside the platform: another writer adds an entry whose pool
// is a service of its own, and the home of the partition that this name hashes to opens a session
// with it.
it('leaves out targets whose pool is not configured', () => {
  const partitions = new PoolPartitions({ partitionCount: 1, listPools: () => ['pages'] });
  const entries = new Map([
    ['t1', { ...makeEntry('t1'), pool: 'pages' }],
    ['t2', { ...makeEntry('t2'), pool: 'elsewhere' }],
  ]);
  expect([...partitions.filterEntries(0, entries).keys()]).toEqual(['t1']);
});
