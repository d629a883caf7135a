import { beforeEach, describe, expect, it } from 'vitest';
import { ExplainLog, GRANT_DURATION_MS } from '../../src/home/index.js';
import { type FinishGrant, PoolGrants } from '../../src/home/PoolGrants.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { PoolTables } from '../../src/tables/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { makePool, makeRequest, POOL } from '../systems/fixtures.js';

const VM = 'vm-00-00';

const makeFinish = (grantId: string, result: FinishGrant['result']): FinishGrant => ({
  type: 'finish-grant',
  pool: POOL,
  grantId,
  requestId: grantId,
  jobKind: 'save',
  vm: VM,
  isClaimed: false,
  result,
  outcome: 'not-run',
  ranMs: 10,
});

describe('PoolGrants', () => {
  let clock: ManualClock;
  let tables: PoolTables;
  let events: MemoryEventLog;
  let waitingIds: Set<string>;
  let suspects: string[];
  let grants: PoolGrants;

  beforeEach(() => {
    clock = new ManualClock();
    tables = makePool(1);
    events = new MemoryEventLog();
    waitingIds = new Set();
    suspects = [];
    grants = new PoolGrants({
      tables,
      clock,
      events,
      explainLog: new ExplainLog({ clock }),
      isWaiting: (grantId) => waitingIds.has(grantId),
      onSuspect: (vm) => suspects.push(vm),
    });
  });

  const begin = (grantId: string): void =>
    grants.begin(makeRequest(grantId), {
      type: 'place',
      attemptId: grantId,
      vm: VM,
      coreCount: 1,
      memoryMb: 512,
      reason: 'free',
    });

  it('ends a grant that its entry instance does not renew', () => {
    begin('g1');
    begin('g2');
    clock.advance(GRANT_DURATION_MS - 1);
    grants.expire();
    grants.renew(['g1', 'unknown']);
    clock.advance(1);
    grants.expire();
    expect(tables.grants.list().map(({ grantId }) => grantId)).toEqual(['g1']);
    const fields = { requestId: 'g2', vm: VM, entry: 'entry-1' };
    expect(events.events).toEqual([{ event: 'grantExpired', fields }]);
  });

  it('keeps a grant that is still on its way to its entry instance', () => {
    begin('g1');
    waitingIds.add('g1');
    clock.advance(2 * GRANT_DURATION_MS);
    grants.expire();
    expect(grants.get('g1')).toBeDefined();
    waitingIds.clear();
    grants.expire();
    expect(grants.get('g1')).toBeUndefined();
  });

  it.each([
    ['unknown', [VM]],
    ['not-started', [VM]],
    ['run', []],
    ['failed', []],
    ['cancelled', []],
  ] as const)('reports a suspect VM only for certain results: %s', (result, expected) => {
    begin('g1');
    grants.finish(grants.get('g1')!, makeFinish('g1', result));
    expect(suspects).toEqual(expected);
    expect(grants.get('g1')).toBeUndefined();
  });

  it('adopts grants of an earlier home with a new deadline', () => {
    clock.advance(5_000);
    const { attemptId, queuedAtMs, deadlineMs, excludedVms, ...request } = makeRequest('g1');
    grants.adopt([{ ...request, grantId: attemptId, vm: VM }]);
    expect(grants.get('g1')).toMatchObject({ pool: POOL, deadlineMs: 5_000 + GRANT_DURATION_MS });
  });
});
