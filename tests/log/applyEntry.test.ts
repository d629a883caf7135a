import { describe, expect, it } from 'vitest';
import { applyEntry } from '../../src/log/index.js';
import type { RecordBody } from '../../src/records/index.js';
import {
  createFolderWithHome,
  Folder,
  join,
  publication,
  writeDocument,
} from './support/Folder.js';

const POOL = 'wiki/saves';
const A = { pool: POOL, instance: 'a', term: 1 } as const;
const B = { pool: POOL, instance: 'b', term: 2 } as const;
const MINUTE_MS = 60_000;

function claimRecord(requestIds: readonly string[], by: typeof A | typeof B = A, atMs?: number) {
  const claims = requestIds.map((requestId) => ({
    requestId,
    entry: 'e',
    keepUntilMs: MINUTE_MS,
    fingerprint: 'f',
  }));
  return { type: 'requests-claimed', ...by, claims, writtenAtMs: atMs } satisfies RecordBody;
}

function settle(requestId: string, outcome: 'run' | 'not-run' | 'unknown'): RecordBody {
  return { type: 'requests-settled', ...A, settlements: [{ requestId, outcome }] };
}

function adopt(vm: string, expectedVersion = 0): RecordBody {
  return { type: 'vm-adopted', vm, ...A, expectedVersion };
}

function step(vm: string, by: typeof A | typeof B = A, bootId = 'boot-1'): RecordBody {
  return { type: 'step-intended', wave: 'w', vm, ...by, bootId };
}

/** Makes `a` lapse and `b` claim the pool. */
function takeOverPool(folder: Folder): void {
  const observedRenewalOffset = folder.tables.instances.getOrThrow('a').renewalOffset;
  folder.apply({ type: 'instance-lapsed', instance: 'a', observedRenewalOffset, by: 'b' });
  folder.apply({ type: 'home-claimed', pool: POOL, instance: 'b', expectedTerm: 1 });
}

describe('applyEntry', () => {
  it('ignores entries that are applied, and fails on a gap', () => {
    const { tables } = createFolderWithHome();
    expect(applyEntry(tables, { offset: 0, payload: {} })).toEqual({ type: 'stale' });
    expect(() => applyEntry(tables, { offset: 9, payload: {} })).toThrow('Entry 9');
    expect(tables.nextOffset).toBe(4);
  });

  it('applies a record once that stands on the log twice', () => {
    const folder = new Folder();
    const drain: RecordBody = { type: 'vm-drain-ordered', vm: 'vm-1', author: 'anna' };
    folder.apply(drain, 'same');
    folder.apply({ type: 'vm-drain-cancelled', vm: 'vm-1', author: 'ben' });
    const first = { type: 'accepted' };
    expect(folder.apply(drain, 'same')).toEqual({ type: 'repeated', first });
    expect(folder.tables.drains.size).toBe(0);
  });

  it('stops deciding on the team of a record of a newer format, or on all teams', () => {
    const folder = createFolderWithHome();
    folder.applyPayload({ formatVersion: 2, body: { type: 'new', pool: 'food/match' } });
    expect(folder.tables.isFrozen('food')).toBe(true);
    expect(folder.tables.isFrozen('wiki')).toBe(false);
    folder.applyPayload({ formatVersion: 2, body: { type: 'instance-renewed' } });
    expect(folder.tables.isFrozen('wiki')).toBe(true);
  });

  describe('settings', () => {
    it('accepts one of two publications at once and tells the other what is in force', () => {
      // Failure: one operator undoes another's change without noticing it.
      // Both read version 1 and publish concurrently; neither could know of the other publication
      // when its own was appended.
      const folder = new Folder();
      folder.apply(publication('wiki', ['saves']));
      expect(folder.apply(publication('wiki', ['saves', 'ann'], 1, 'ann')).type).toBe('accepted');
      expect(folder.reasonOf(publication('wiki', ['ben'], 1, 'ben'))).toBe(
        'The publication starts from version 1, but version 2 by ann is in force.',
      );
      expect(folder.tables.homes.list().map((row) => row.pool)).toEqual([POOL, 'wiki/ann']);
      const history = folder.tables.publications.list();
      expect(history.map((row) => `${row.author} ${row.verdict}`)).toEqual([
        'anna accepted',
        'ann accepted',
        'ben rejected',
      ]);
    });

    it.each([
      ['broken JSON', '{ "team": "wiki", '],
      ['an unknown field', '{ "formatVersion": 1, "team": "wiki", "pools": {}, "pool": {} }'],
      ['the team of another subtree', writeDocument('food', ['match'])],
      ['thousands of brackets', '['.repeat(50_000)],
    ])('rejects %s, shows it in the history and keeps the former version', (_what, document) => {
      const folder = new Folder();
      folder.apply(publication('food', ['match']));
      folder.apply(publication('wiki', ['saves']));
      const verdict = folder.apply({
        type: 'settings-published',
        team: 'wiki',
        baseVersion: 2,
        document,
        author: 'ben',
      });
      expect(verdict.type).toBe('rejected');
      expect(folder.tables.settings.list().map((row) => row.version)).toEqual([1, 2]);
      const shown = folder.tables.publications.getOrThrow(2);
      expect(verdict).toMatchObject({ reason: shown.reason });
    });

    it('shows a publication in the history that is no readable record at all', () => {
      const folder = new Folder();
      folder.applyPayload({ formatVersion: 1, body: { type: 'settings-published', team: 'wiki' } });
      expect(folder.tables.publications.list()).toMatchObject([
        { team: 'wiki', author: '?', verdict: 'rejected' },
      ]);
    });

    it('never gives a term twice to a pool that was withdrawn and published again', () => {
      // Failure: a former home resumes after a freeze and makes decisions for a pool that was
      // withdrawn and published again, because the new home holds the same term.
      const folder = createFolderWithHome();
      folder.apply(publication('wiki', ['exports'], 1));
      expect(folder.tables.homes.has(POOL)).toBe(true);
      folder.apply({ type: 'home-released', ...A });
      expect(folder.tables.homes.has(POOL)).toBe(false);
      folder.apply(publication('wiki', ['saves'], 5));
      expect(folder.tables.homes.get(POOL)).toMatchObject({ term: 1, instance: undefined });
    });
  });

  describe('membership', () => {
    const lapse = (observedRenewalOffset: number): RecordBody => ({
      type: 'instance-lapsed',
      instance: 'a',
      observedRenewalOffset,
      by: 'b',
    });

    it('lets the renewal win that comes before the lapse', () => {
      const folder = createFolderWithHome();
      folder.apply({ type: 'instance-renewed', instance: 'a' });
      expect(folder.reasonOf(lapse(1))).toBe('Instance a renewed at offset 4, after offset 1.');
      expect(folder.tables.homes.get(POOL)?.instance).toBe('a');
    });

    it('lets the lapse win that comes before the renewal', () => {
      const folder = createFolderWithHome();
      expect(folder.apply(lapse(1)).type).toBe('accepted');
      expect(folder.reasonOf({ type: 'instance-renewed', instance: 'a' })).toBe(
        'Instance a is not joined.',
      );
      expect(folder.tables.homes.get(POOL)).toMatchObject({ instance: undefined, term: 1 });
    });

    it('accepts a second instance on an address and rejects a second join of an id', () => {
      const folder = createFolderWithHome();
      expect(folder.apply(join('c')).type).toBe('accepted');
      expect(folder.reasonOf(join('a'))).toBe('Instance a has joined before.');
      expect(folder.tables.instances.getOrThrow('a').state).toBe('joined');
    });
  });

  describe('homes', () => {
    it('rejects a claim of a held pool, of an old term, and by one that has not joined', () => {
      const folder = createFolderWithHome();
      const claimBy = (instance: string, expectedTerm: number) =>
        folder.reasonOf({ type: 'home-claimed', pool: POOL, instance, expectedTerm });
      expect(claimBy('b', 1)).toBe('Pool wiki/saves is held by a in term 1.');
      folder.apply({ type: 'home-released', ...A });
      expect(claimBy('b', 0)).toBe('Pool wiki/saves is in term 1, not in term 0.');
      expect(claimBy('x', 1)).toBe('Instance x is not joined.');
      expect(claimBy('b', 1)).toBe('accepted');
    });
  });

  describe('assignments', () => {
    it('gives a VM to one pool, and to another only after its release', () => {
      const folder = createFolderWithHome();
      const other = { pool: 'wiki/exports', instance: 'b', term: 1 };
      const claim = { pool: 'wiki/exports', instance: 'b', expectedTerm: 0 };
      folder.apply({ type: 'home-claimed', ...claim });
      folder.apply(adopt('vm-1'));
      const adoptByOther = (expectedVersion: number) =>
        folder.reasonOf({ type: 'vm-adopted', vm: 'vm-1', ...other, expectedVersion });
      const { version } = folder.tables.assignments.getOrThrow('vm-1');
      expect(adoptByOther(0)).toBe('VM vm-1 belongs to pool wiki/saves.');
      folder.apply({ type: 'vm-released', vm: 'vm-1', ...A, expectedVersion: version });
      expect(adoptByOther(version)).toContain('not at version');
      const released = folder.tables.assignments.getOrThrow('vm-1').version;
      expect(adoptByOther(released)).toBe('accepted');
    });
  });

  describe('waves', () => {
    const start = (wave: string): RecordBody => ({
      type: 'wave-started',
      wave,
      pools: [POOL],
      author: 'anna',
    });
    const finish = (vm: string, by: typeof A | typeof B = A): RecordBody => ({
      type: 'step-finished',
      wave: 'w',
      vm,
      ...by,
      result: 'maintained',
    });

    it('takes a pool into one wave at a time, until each of its VMs is done', () => {
      const folder = createFolderWithHome();
      ['vm-1', 'vm-2'].forEach((vm) => folder.apply(adopt(vm)));
      folder.apply(start('w'));
      expect(folder.reasonOf(start('w2'))).toContain('is in wave w, which is not finished');
      ['vm-1', 'vm-2'].forEach((vm) => folder.apply(step(vm)));
      folder.apply(finish('vm-1'));
      expect(folder.tables.waves.getOrThrow('w').finishedOffset).toBeUndefined();
      const lastOffset = folder.tables.nextOffset;
      folder.apply(finish('vm-2'));
      expect(folder.tables.waves.getOrThrow('w').finishedOffset).toBe(lastOffset);
      expect(folder.apply(start('w2')).type).toBe('accepted');
    });

    it('begins no step while the wave is paused', () => {
      const folder = createFolderWithHome();
      folder.apply(adopt('vm-1'));
      folder.apply(start('w'));
      folder.apply({ type: 'wave-paused', wave: 'w', reason: 'two VMs failed' });
      expect(folder.reasonOf(step('vm-1'))).toBe('Wave w is paused: two VMs failed');
      folder.apply({ type: 'wave-resumed', wave: 'w', author: 'anna' });
      expect(folder.reasonOf(step('vm-1'))).toBe('accepted');
    });

    it('keeps the boot from before the first attempt when a successor repeats a step', () => {
      // Failure: a home dies right after it told a VM to reboot, and its successor reboots the VM
      // again because it mistakes the new boot for the one before the step.
      const folder = createFolderWithHome();
      folder.apply(adopt('vm-1'));
      folder.apply(start('w'));
      folder.apply(step('vm-1'));
      expect(folder.reasonOf(step('vm-1'))).toContain('is intended already');
      takeOverPool(folder);
      expect(folder.reasonOf(step('vm-1', B, 'boot-2'))).toBe('accepted');
      expect(folder.tables.waveSteps.getOrThrow('w/vm-1')).toMatchObject({
        bootId: 'boot-1',
        term: 2,
      });
      expect(folder.reasonOf(finish('vm-1'))).toContain('is held by b in term 2');
      expect(folder.reasonOf(finish('vm-1', B))).toBe('accepted');
    });
  });

  describe('claims', () => {
    it('rejects the claims of a home that was frozen past its lease', () => {
      // Failure: a page save runs twice, through the new home and through the old one.
      // The old home froze before its claim was appended, resumes after the takeover and still
      // acts as the home of the pool.
      const folder = createFolderWithHome();
      takeOverPool(folder);
      expect(folder.reasonOf(claimRecord(['save-1']))).toBe(
        'Pool wiki/saves is held by b in term 2, not by a in term 1.',
      );
      expect(folder.apply(claimRecord(['save-1'], B))).toEqual({ type: 'accepted' });
    });

    it('rejects the late claims of a home that has given the pool up and taken it again', () => {
      const folder = createFolderWithHome();
      folder.apply({ type: 'home-released', ...A });
      folder.apply({ type: 'home-claimed', pool: POOL, instance: 'a', expectedTerm: 1 });
      expect(folder.reasonOf(claimRecord(['save-1']))).toContain('in term 2, not by a in term 1');
    });

    it('refuses a request that is claimed, within one record too, and keeps the others', () => {
      const folder = createFolderWithHome();
      folder.apply(claimRecord(['save-1']));
      expect(folder.apply(claimRecord(['save-2', 'save-1', 'save-2']))).toEqual({
        type: 'accepted',
        refusedRequestIds: ['save-1', 'save-2'],
      });
    });

    it.each([
      [['unknown', 'run'], 'run'],
      [['run', 'unknown'], 'run'],
      [['run', 'not-run'], 'run'],
      [['not-run', 'unknown'], 'not-run'],
    ] as const)('settles %j as %s', (outcomes, expected) => {
      const folder = createFolderWithHome();
      folder.apply(claimRecord(['save-1']));
      outcomes.forEach((outcome) => folder.apply(settle('save-1', outcome)));
      expect(folder.tables.claims.getOrThrow('save-1').outcome).toBe(expected);
    });

    it('ignores a late "not run" of an earlier claim of a request that is running', () => {
      // Failure: a running save is reported as not run, is repeated by its caller and runs twice.
      // The first claim was settled as not run twice because the first response was lost, and the
      // first settlement reaches the log after the request was claimed again.
      const folder = createFolderWithHome();
      const settleAs = (claimedOffset: number | undefined): void => {
        const settlements = [{ requestId: 'save-1', outcome: 'not-run', claimedOffset } as const];
        folder.apply({ type: 'requests-settled', ...A, settlements });
      };
      const firstOffset = folder.tables.nextOffset;
      folder.apply(claimRecord(['save-1']));
      settleAs(firstOffset);
      const secondOffset = folder.tables.nextOffset;
      folder.apply(claimRecord(['save-1']));
      settleAs(firstOffset);
      settleAs(undefined);
      expect(folder.tables.claims.getOrThrow('save-1').outcome).toBeUndefined();
      settleAs(secondOffset);
      expect(folder.tables.claims.getOrThrow('save-1').outcome).toBe('not-run');
    });

    it('expires claims by the clocks of the writers, not by one that is far ahead', () => {
      // Failure: a repeated save runs twice because every instance has deleted its claim.
      // The wall clock of one writer is a year ahead.
      const folder = createFolderWithHome();
      const claim = { pool: 'wiki/exports', instance: 'b', expectedTerm: 0 };
      folder.apply({ type: 'home-claimed', ...claim });
      folder.apply(claimRecord(['save-1'], A, 1));
      const byOther = { pool: 'wiki/exports', instance: 'b', term: 1 };
      const ahead = claimRecord(['export-1'], A, 365 * 1_440 * MINUTE_MS);
      folder.apply({ ...ahead, ...byOther });
      expect(folder.tables.claims.has('save-1')).toBe(true);
      folder.apply(claimRecord(['save-2'], A, 13 * MINUTE_MS));
      expect(folder.tables.claims.list().map((row) => row.requestId)).toEqual(['save-2']);
    });
  });
});
