import { describe, expect, it } from 'vitest';
import {
  checkBudget,
  placeQueuedJobs,
  recordRun,
  type RecordRunOptions,
} from '../../src/systems/index.js';
import type { PoolTables } from '../../src/tables/index.js';
import { SeededRng } from '../../src/utils/index.js';
import { makePool, makeRequest, makeSettings } from './fixtures.js';

/** Records a failed attempt and returns the types of the verdicts. */
function fail(
  tables: PoolTables,
  vm: string,
  requestId: string,
  changes: Partial<RecordRunOptions> = {},
): readonly string[] {
  const run = { nowMs: 0, jobKind: 'save', result: 'failed', ranMs: 5, excludedVms: [] } as const;
  return recordRun(tables, { ...run, vm, requestId, ...changes }).map((verdict) => verdict.type);
}

describe('recordRun', () => {
  // Guards against a VM that fails every job within milliseconds. It is always empty, so placement
  // by load alone sends it every job, and one save after another fails while other VMs are idle.
  it('avoids a VM that fails every job although it is the least loaded, and quarantines it', () => {
    const tables = makePool(4);
    expect(fail(tables, 'vm-00-00', 'a')).toEqual([]);
    tables.queue.put(makeRequest('next'));
    const decisions = placeQueuedJobs(tables, { nowMs: 1, rng: new SeededRng(7) });
    expect(decisions).not.toMatchObject([{ vm: 'vm-00-00' }]);
    expect(fail(tables, 'vm-00-00', 'b', { jobKind: 'index' })).toEqual(['quarantine']);
    expect(tables.health.get('vm-00-00')?.quarantinedUntilMs).toBe(60_000);
  });

  it('tries a quarantined VM again, longer apart each time, and restores it on success', () => {
    const tables = makePool(4);
    ['a', 'b', 'c'].forEach((requestId) => fail(tables, 'vm-00-00', requestId));
    expect(fail(tables, 'vm-00-00', 'd', { nowMs: 60_001 })).toEqual(['quarantine']);
    expect(tables.health.get('vm-00-00')?.quarantinedUntilMs).toBe(180_001);
    expect(fail(tables, 'vm-00-00', 'e', { nowMs: 180_002, result: 'run' })).toEqual(['restore']);
    expect(tables.health.size).toBe(0);
  });

  // Guards against one broken job that empties the pool: a broken page makes its export crash on
  // every VM. Blaming the VMs would quarantine one after another, and other jobs would have none.
  it('blames a job that fails on several VMs, and removes its failures from the VMs', () => {
    const tables = makePool(2);
    fail(tables, 'vm-00-00', 'poison');
    fail(tables, 'vm-00-01', 'poison', { excludedVms: ['vm-00-00'] });
    const excludedVms = ['vm-00-00', 'vm-00-01'];
    expect(fail(tables, 'vm-00-02', 'poison', { excludedVms })).toEqual(['blame-job']);
    expect(tables.health.list().flatMap((health) => health.failedRequestIds)).toEqual([]);
  });

  it('blames a kind of job that fails on several VMs, not the VMs', () => {
    const tables = makePool(2);
    const verdicts = ['vm-00-00', 'vm-00-01', 'vm-00-02', 'vm-00-03'].flatMap((vm) =>
      fail(tables, vm, `first-${vm}`),
    );
    const more = ['x', 'y', 'z'].flatMap((requestId) => fail(tables, 'vm-00-00', requestId));
    expect([...verdicts, ...more]).toEqual([]);
  });

  // Guards against an outage by quarantine: the network in front of the pool breaks, and every VM
  // appears to fail all jobs. Quarantining all VMs would turn a disturbance into an outage.
  it('never quarantines more VMs than the budget allows', () => {
    const tables = makePool(5, makeSettings({ neededSlotCount: 56 }));
    const verdicts = tables.vms
      .list()
      .flatMap(({ vm }) => [
        ...fail(tables, vm, `${vm}-a`, { jobKind: `kind-${vm}-a` }),
        ...fail(tables, vm, `${vm}-b`, { jobKind: `kind-${vm}-b` }),
      ]);
    expect(verdicts).toEqual(['quarantine', 'quarantine']);
    expect(checkBudget(tables, { nowMs: 1 })).toEqual({ type: 'within', spareSlotCount: 0 });
  });
});
