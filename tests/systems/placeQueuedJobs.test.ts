import { describe, expect, it } from 'vitest';
import { placeQueuedJobs, type PlacementDecision, recordRun } from '../../src/systems/index.js';
import type { PoolTables, QueuedRow } from '../../src/tables/index.js';
import { SeededRng } from '../../src/utils/index.js';
import { changeVms, fillVm, makeGrant, makePool, makeRequest, makeSettings } from './fixtures.js';

/** Runs one placement round at a time. */
function place(tables: PoolTables, nowMs = 0): readonly PlacementDecision[] {
  return placeQueuedJobs(tables, { nowMs, rng: new SeededRng(1) });
}

/** Queues requests whose ids share a prefix. */
function enqueue(
  tables: PoolTables,
  prefix: string,
  count: number,
  changes: Partial<QueuedRow> = {},
): void {
  Array.from({ length: count }, (ignored, index) => `${prefix}-${index}`).forEach((attemptId) =>
    tables.queue.put(makeRequest(attemptId, changes)),
  );
}

/** Lists the ids of the placed requests. */
function placedIds(decisions: readonly PlacementDecision[]): readonly string[] {
  return decisions.flatMap((decision) => (decision.type === 'place' ? [decision.attemptId] : []));
}

/** Fills every slot of the pool except the given number on its first VM. */
function fillPool(tables: PoolTables, freeCount: number, changes = {}): void {
  const [first, ...others] = tables.vms.list();
  fillVm(tables, first!.vm, first!.slotCount - freeCount, changes);
  others.forEach((vm) => fillVm(tables, vm.vm, vm.slotCount, changes));
}

describe('placeQueuedJobs', () => {
  it('uses only VMs that accept work, are trusted and have not failed the request', () => {
    const tables = makePool(1);
    changeVms(tables, ['vm-00-00'], { condition: 'draining' });
    tables.health.put({
      vm: 'vm-00-01',
      failedJobKinds: ['save', 'index'],
      failedRequestIds: ['a', 'b'],
      lastFailedAtMs: 0,
      quarantinedUntilMs: 1_000,
      quarantineCount: 1,
    });
    enqueue(tables, 'a', 1, { excludedVms: ['vm-00-02'] });
    expect(place(tables)).toMatchObject([{ type: 'place', vm: 'vm-00-03' }]);
  });

  // Guards against jobs on a VM that an operator drains: more jobs wait than the other VMs can
  // take, the draining VM is empty, and a job on it would delay its reboot.
  it('leaves a VM that drains or is unreachable empty, however many jobs wait', () => {
    const tables = makePool(1);
    changeVms(tables, ['vm-00-00'], { condition: 'draining' });
    changeVms(tables, ['vm-00-01'], { condition: 'unreachable' });
    Array.from({ length: 40 }, (_none, index) => enqueue(tables, `job-${index}`, 1));
    const vms = place(tables).flatMap((decision) => (decision.type === 'place' ? decision.vm : []));
    expect(new Set(vms)).toEqual(new Set(['vm-00-02', 'vm-00-03']));
  });

  it('sizes a job by what its kind was measured to need, not by its declaration', () => {
    const tables = makePool(1);
    Array.from({ length: 8 }, (ignored, run) => run).forEach((run) =>
      recordRun(tables, {
        nowMs: 0,
        requestId: `run-${run}`,
        jobKind: 'save',
        vm: 'vm-00-00',
        result: 'run',
        ranMs: 900,
        usedMemoryMb: 9_000,
        excludedVms: [],
      }),
    );
    enqueue(tables, 'a', 6);
    const decisions = place(tables);
    expect(decisions.map((decision) => decision.type)).toEqual(Array(4).fill('place'));
    expect(decisions).toContainEqual(expect.objectContaining({ memoryMb: 9_000 }));
  });

  it('spreads jobs over racks', () => {
    const tables = makePool(4);
    enqueue(tables, 'a', 8);
    const racks = place(tables).map((decision) =>
      'vm' in decision ? decision.vm.slice(0, 5) : '',
    );
    expect(new Set(racks).size).toBe(4);
  });

  // Guards against callers that wait in vain: an export needs more memory than any VM of the pool
  // has, and its caller would wait until the deadline for a refusal that is certain now.
  it('refuses at once what can never run, with the kind of the cause', () => {
    const tables = makePool(1, makeSettings({ quotas: { wiki: { slotCount: 9 } } }));
    enqueue(tables, 'large', 1, { memoryMb: 99_999 });
    enqueue(tables, 'late', 1, { deadlineMs: 0 });
    enqueue(tables, 'poison', 1, { excludedVms: ['x', 'y', 'z'] });
    enqueue(tables, 'stranger', 1, { team: 'nobody' });
    const kinds = place(tables).map((decision) => ('kind' in decision ? decision.kind : ''));
    expect(kinds).toEqual(['job-too-large', 'deadline-past', 'target-failed', 'quota-exceeded']);
  });

  it('refuses at once requests that miss their deadline because of the work ahead', () => {
    const tables = makePool(1);
    fillPool(tables, 0);
    enqueue(tables, 'a', 160, { jobKind: 'index', deadlineMs: 20_000 });
    const refused = place(tables).filter((decision) => decision.type === 'refuse');
    expect(refused.length).toBe(31);
    expect(refused[0]).toMatchObject({ kind: 'no-capacity', retryAfterMs: 40_313 });
  });

  // Guards against starvation of small teams: one team queues twenty times as many jobs as all
  // others together. Without shares a small team's saves would wait behind thousands of its jobs.
  it('shares free slots by weight, so that a large team cannot push out a small one', () => {
    const quotas = { '*': { slotCount: 100, queuedJobCount: 400 } };
    const tables = makePool(1, makeSettings({ quotas }));
    enqueue(tables, 'large', 300, { team: 'large' });
    enqueue(tables, 'small', 3, { team: 'small', queuedAtMs: 5 });
    const ids = placedIds(place(tables, 10));
    expect(ids.length).toBe(8);
    expect(ids.filter((id) => id.startsWith('small')).length).toBe(3);
  });

  it('limits a team to its slots and refuses requests beyond its queue limit', () => {
    const quotas = { '*': { slotCount: 2, queuedJobCount: 3 } };
    const tables = makePool(1, makeSettings({ quotas }));
    tables.grants.put(makeGrant('g', 'vm-00-00'));
    enqueue(tables, 'a', 5);
    const types = place(tables).map((decision) => decision.type);
    expect(types).toEqual(['refuse', 'refuse', 'place']);
  });

  // Guards against saves that wait for overnight work, and against overnight work that starves.
  // Archiving starts at night and still runs when editors start work. The headroom serves their
  // first saves, and one aged overnight job still starts.
  it('keeps slots free beside overnight work, and starts an aged overnight job beside normal work', () => {
    const tables = makePool(1);
    enqueue(tables, 'night', 30, { jobKind: 'archive', urgency: 'overnight', team: 'archive' });
    const startCount = (): number => {
      const ids = place(tables, 1_000_000).filter((decision) => decision.type === 'place');
      return ids.length;
    };
    expect(startCount()).toBeLessThanOrEqual(14);
    enqueue(tables, 'day', 40, { queuedAtMs: 999_000 });
    const ids = placedIds(place(tables, 1_000_000));
    expect(ids.filter((id) => id.startsWith('night')).length).toBe(1);
    expect(ids.filter((id) => id.startsWith('day')).length).toBe(7);
  });

  // Guards against urgent jobs that wait for overnight runs, and against needless checkpoints. An
  // urgent save finds the pool full of archiving and must start within seconds. One run is
  // checkpointed for it, and no further one while that checkpoint is pending.
  it('checkpoints one overnight run for an urgent job that found no VM', () => {
    const tables = makePool(1);
    fillPool(tables, 0, { jobKind: 'archive', urgency: 'overnight', team: 'archive' });
    enqueue(tables, 'crew', 1, { urgency: 'urgent' });
    expect(place(tables)).toMatchObject([{ type: 'preempt', action: 'checkpoint' }]);
    expect(place(tables, 1_000)).toEqual([]);
    tables.grants.remove(tables.preemptions.list()[0]!.grantId);
    expect(placedIds(place(tables, 2_000))).toEqual(['crew-0']);
    expect(tables.preemptions.size).toBe(0);
  });

  it('throttles a run that cannot be checkpointed, and restores its speed afterwards', () => {
    const tables = makePool(1);
    changeVms(tables, ['vm-00-00', 'vm-00-01', 'vm-00-02', 'vm-00-03'], { coreCount: 2 });
    fillPool(tables, 3, { jobKind: 'links', urgency: 'overnight' });
    tables.grants.put({ ...tables.grants.getOrThrow('vm-00-00/0'), coreCount: 2, grantedAtMs: -1 });
    enqueue(tables, 'crew', 1, { urgency: 'urgent' });
    expect(place(tables)).toMatchObject([{ type: 'preempt', action: 'throttle' }]);
    expect(placedIds(place(tables, 1))).toEqual(['crew-0']);
    tables.queue.clear();
    expect(place(tables, 2)).toMatchObject([{ type: 'unthrottle', grantId: 'vm-00-00/0' }]);
  });

  // Guards against overload by simultaneous starts: a team cancels all its jobs, and all slots come
  // free at once. Starting the whole queue at once would overload each VM, so starts are spread.
  it('limits simultaneous starts after many cancellations', () => {
    const tables = makePool(2);
    enqueue(tables, 'a', 32);
    const starts = [0, 40, 60, 100].map((nowMs) => {
      const decisions = place(tables, nowMs);
      decisions.forEach((decision) => {
        if (decision.type !== 'place') return;
        tables.queue.remove(decision.attemptId);
        const grant = makeGrant(decision.attemptId, decision.vm, { grantedAtMs: nowMs });
        tables.grants.put(grant);
      });
      return decisions.length;
    });
    expect(starts).toEqual([16, 0, 16, 0]);
  });

  it('keeps a VM free for a large job that small ones would pass over for ever', () => {
    const tables = makePool(1);
    tables.vms.list().forEach((vm) => tables.grants.put(makeGrant(vm.vm, vm.vm)));
    enqueue(tables, 'large', 1, { jobKind: 'export', memoryMb: 16_000 });
    enqueue(tables, 'small', 20, { queuedAtMs: 11_000 });
    const vms = place(tables, 12_000).map((decision) => ('vm' in decision ? decision.vm : ''));
    expect(new Set(vms).size).toBe(3);
  });
});
