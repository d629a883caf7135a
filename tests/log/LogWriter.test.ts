import { afterEach, describe, expect, it } from 'vitest';
import { createInstance } from './support/createInstance.js';
import { type Fault, MemoryLog } from './support/MemoryLog.js';

const LONG_MS = 30_000;
const SHORT_MS = 60;

const stops: (() => Promise<void>)[] = [];
afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

function setUp(appendFault: Fault = 'none', isFollowing = true, appendGapMs = 0) {
  const log = new MemoryLog();
  log.appendFault = appendFault;
  const instance = createInstance(log, 'a', appendGapMs);
  if (isFollowing) instance.follower.start();
  stops.push(async () => {
    instance.writer.close();
    await instance.follower.stop();
  });
  const drain = (vm: string, waitMs = LONG_MS, failsFast = false) =>
    instance.writer.write(
      { type: 'vm-drain-ordered', vm, author: 'anna' },
      { deadlineMs: instance.clock.monotonicMs() + waitMs, failsFast },
    );
  return { log, drain, ...instance };
}

describe('LogWriter', () => {
  describe('write', () => {
    it('answers with the verdict that was read back, in the order of the writes', async () => {
      const { log, drain, tables } = setUp();
      const results = await Promise.all(['vm-1', 'vm-2', 'vm-3'].map((vm) => drain(vm)));
      expect(results.map((result) => result.type === 'accepted' && result.offset)).toEqual([
        0, 1, 2,
      ]);
      expect(tables.drains.list().map((row) => row.vm)).toEqual(['vm-1', 'vm-2', 'vm-3']);
      expect(log.batchSizes).toEqual([3]);
    });

    it('applies a record once whose append answers were lost', async () => {
      // Failure: an operator's order is applied twice, or the operator is told that it failed.
      // The platform's response is lost after the append has taken effect, and the order is
      // appended again.
      const { log, drain, tables, follower } = setUp('lose-answer', false);
      log.appendFaultCount = 2;
      const written = drain('vm-1');
      await expect.poll(() => log.entriesOf('control').length).toBe(3);
      follower.start();
      expect(await written).toEqual({ type: 'accepted', offset: 0 });
      await follower.waitForOffset(log.entriesOf('control').length - 1);
      expect(tables.drains.size).toBe(1);
    });

    // Failure: under load every instance appends as fast as the log answers, and all instances
    // together exceed the capacity of the platform's log.
    it('keeps a gap between appends and combines the writes in between into one', async () => {
      const { log, drain } = setUp('none', true, 300);
      await drain('vm-1');
      const later = ['vm-2', 'vm-3', 'vm-4'].map(async (vm, index) => {
        await new Promise((resolve) => {
          setTimeout(resolve, index);
        });
        return drain(vm);
      });
      await Promise.all(later);
      expect(log.batchSizes).toEqual([1, 3]);
    });

    it('answers unknown, not "not written", when the deadline passes after an append', async () => {
      const { drain } = setUp('lose-answer', false);
      expect(await drain('vm-1', SHORT_MS)).toMatchObject({ type: 'unknown' });
    });

    it('answers unknown when the append never returns', async () => {
      const { drain } = setUp('hang');
      expect(await drain('vm-1', SHORT_MS)).toMatchObject({ type: 'unknown' });
    });

    it('decides nothing on the subtree of a record of a newer format', async () => {
      const { log, writer, clock, follower } = setUp();
      await log.append('control', [{ formatVersion: 2, body: { pool: 'wiki/saves' } }]);
      await follower.waitForOffset(0);
      const acting = { instance: 'a', term: 1 };
      const claimOf = (pool: string) =>
        writer.write(
          { type: 'requests-claimed', pool, ...acting, claims: [] },
          { deadlineMs: clock.monotonicMs() + LONG_MS },
        );
      expect(await claimOf('wiki/exports')).toMatchObject({ type: 'not-written' });
      expect(await claimOf('food/match')).toMatchObject({ type: 'rejected' });
    });

    it('adds to a settlement the offset of the claim that its writer sees', async () => {
      const { log, writer, clock, tables } = setUp();
      const claim = { requestId: 'save-1', pool: 'wiki/saves', entry: 'e', fingerprint: 'f' };
      tables.claims.put({ ...claim, keepUntilMs: 1, outcome: undefined, claimedOffset: 7 });
      const settlements = [{ requestId: 'save-1', outcome: 'not-run' } as const];
      await writer.write(
        { type: 'requests-settled', pool: 'wiki/saves', instance: 'a', term: 1, settlements },
        { deadlineMs: clock.monotonicMs() + LONG_MS },
      );
      expect(log.entriesOf('control')[0]?.payload).toMatchObject({
        body: { settlements: [{ requestId: 'save-1', claimedOffset: 7 }] },
      });
    });

    it('answers not-written at once while the log is known to be out', async () => {
      const { log, drain, writer } = setUp('refuse');
      void drain('vm-1');
      await expect.poll(() => writer.isLogUnavailable).toBe(true);
      expect(await drain('vm-2', LONG_MS, true)).toMatchObject({ type: 'not-written' });
      expect(log.batchSizes.every((size) => size === 1)).toBe(true);
    });
  });
});
