import { afterEach, describe, expect, it } from 'vitest';
import { ClaimRegistry } from '../../src/home/index.js';
import type { GrantRequest } from '../../src/peers/index.js';
import { createInstance } from '../log/support/createInstance.js';
import { MemoryLog } from '../log/support/MemoryLog.js';

const POOL = 'team/saves';
const SETTINGS = JSON.stringify({
  formatVersion: 1,
  team: 'team',
  pools: {
    saves: {
      neededSlotCount: 1,
      availability: { failureDomain: 'vm', maxUnavailableFraction: 0.5 },
      jobKinds: {
        save: { coreCount: 1, memoryMb: 100, expectedRunMs: 10, idempotent: false },
      },
    },
  },
});
const DEADLINE_MS = 1_000_000;

type Instance = ReturnType<typeof createInstance>;

const started: Instance[] = [];

function start(log: MemoryLog, name: string): Instance {
  const instance = createInstance(log, name);
  instance.follower.start();
  started.push(instance);
  return instance;
}

async function join(instance: Instance, name: string): Promise<void> {
  const address = { host: '127.0.0.1', peerPort: 1, callerPort: 2, dataCentre: 'one' };
  const body = { type: 'instance-joined', instance: name, ...address } as const;
  await instance.writer.write(body, { deadlineMs: DEADLINE_MS });
}

async function openRegistry(instance: Instance, name: string, expectedTerm: number) {
  const { tables: fleet, writer, clock, events } = instance;
  await writer.write(
    { type: 'home-claimed', pool: POOL, instance: name, expectedTerm },
    { deadlineMs: DEADLINE_MS },
  );
  const term = expectedTerm + 1;
  return new ClaimRegistry({ pool: POOL, instance: name, term, fleet, writer, clock, events });
}

async function createFixture() {
  const log = new MemoryLog();
  const a = start(log, 'a');
  await a.writer.write(
    { type: 'settings-published', team: 'team', baseVersion: 0, document: SETTINGS, author: 'op' },
    { deadlineMs: DEADLINE_MS },
  );
  await join(a, 'a');
  return { log, a, registry: await openRegistry(a, 'a', 0) };
}

function createRequest(requestId: string, fingerprint = 'same'): GrantRequest {
  return {
    type: 'request-grant',
    attemptId: `${requestId}.1`,
    requestId,
    pool: POOL,
    team: 'team',
    jobKind: 'save',
    urgency: 'urgent',
    coreCount: 1,
    memoryMb: 100,
    idempotent: false,
    deadlineAtMs: Date.parse('2100-01-01'),
    fingerprint,
    excludedVms: [],
  };
}

afterEach(async () => {
  await Promise.all(started.splice(0).map(({ follower }) => follower.stop()));
});

describe('ClaimRegistry', () => {
  describe('claim', () => {
    it('claims a first request and settles it', async () => {
      const { registry } = await createFixture();
      const request = createRequest('r1');
      expect(await registry.claim('a', request)).toBeUndefined();
      expect(await registry.settle('r1', 'run')).toBe(true);
      expect(registry.findConflict('a', request, false)).toMatchObject({ kind: 'already-run' });
    });

    // Guards against a request that runs twice: a home is paused until its lease has expired, and
    // the request runs through the new home. The old home resumes without knowing this and gets a
    // retry of the request from another entry VM. Its claim carries the old term.
    it('refuses a claim of a home that was replaced while it was paused', async () => {
      const { log, a, registry } = await createFixture();
      const b = start(log, 'b');
      await join(b, 'b');
      const { renewalOffset } = b.tables.instances.getOrThrow('a');
      await a.follower.stop();
      await b.writer.write(
        {
          type: 'instance-lapsed',
          instance: 'a',
          observedRenewalOffset: renewalOffset,
          by: 'b',
        },
        { deadlineMs: DEADLINE_MS },
      );
      const successor = await openRegistry(b, 'b', 1);
      expect(await successor.claim('b', createRequest('r1'))).toBeUndefined();
      const resumed = start(log, 'a2');
      const { tables: fleet, writer, clock, events } = resumed;
      const stale = new ClaimRegistry({
        pool: POOL,
        instance: 'a',
        term: 1,
        fleet,
        writer,
        clock,
        events,
      });
      expect(registry.findConflict('a', createRequest('r1'), false)).toBeUndefined();
      expect(await stale.claim('a', createRequest('r1'))).toMatchObject({
        type: 'refused',
        kind: 'home-unavailable',
      });
    });

    // The log is unavailable when a request arrives, and the caller is told that it did not run.
    // The claim is in the log nevertheless; only its answer was lost. When the caller retries after
    // the outage, the request must neither be blocked forever nor run under a claim that is being
    // settled as not run.
    it('settles a claim whose answer was lost before it accepts a retry', async () => {
      const { log, a, registry } = await createFixture();
      const request = createRequest('r1');
      log.appendFault = 'lose-answer';
      log.readFault = 'refuse';
      expect(await registry.claim('a', request)).toMatchObject({ kind: 'log-unavailable' });
      log.appendFault = 'none';
      log.readFault = 'none';
      const isClaimed = () => a.tables.claims.has('r1');
      await expect.poll(isClaimed, { timeout: 5_000 }).toBe(true);
      expect(await registry.claim('a', request)).toMatchObject({ kind: 'already-running' });
      registry.tick();
      const isFreed = () => a.tables.claims.get('r1')?.outcome;
      await expect.poll(isFreed, { timeout: 5_000 }).toBe('not-run');
      expect(await registry.claim('a', request)).toBeUndefined();
    });
  });

  describe('findConflict', () => {
    // Guards against a request that runs twice: its entry VM is killed between sending the request
    // and the answer. The caller retries at another entry VM, and it is unknown whether the target
    // has run the request.
    it('reports an unknown outcome if the entry instance has left', async () => {
      const { log, a, registry } = await createFixture();
      const b = start(log, 'b');
      await join(b, 'b');
      await registry.claim('b', createRequest('r1'));
      expect(registry.findConflict('a', createRequest('r1'), false)).toMatchObject({
        kind: 'already-running',
      });
      await b.writer.write({ type: 'instance-left', instance: 'b' }, { deadlineMs: DEADLINE_MS });
      await expect.poll(() => a.tables.instances.get('b')?.state).toBe('left');
      expect(registry.findConflict('a', createRequest('r1'), false)).toMatchObject({
        kind: 'outcome-unknown',
      });
    });

    it('refuses another request under the same id', async () => {
      const { registry } = await createFixture();
      await registry.claim('a', createRequest('r1'));
      expect(registry.findConflict('a', createRequest('r1', 'other'), false)).toMatchObject({
        kind: 'request-id-reused',
      });
    });
  });
});
