import { setImmediate as nextTurn } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpLogPort } from '../../src/platform/index.js';
import { type PlatformFaults, PlatformStandIn } from '../../standins/platform/index.js';
import { TcpForwarder } from '../support/index.js';

const TIMEOUT_MS = 300;
const LONG_WAIT_MS = 30_000;
const STREAM = 'settings';

let platform: PlatformStandIn;
let forwarder: TcpForwarder;
let log: HttpLogPort;

beforeEach(async () => {
  platform = new PlatformStandIn();
  forwarder = new TcpForwarder((await platform.start()).port);
  await forwarder.start();
  log = new HttpLogPort({ host: '127.0.0.1', port: forwarder.port, timeoutMs: TIMEOUT_MS });
});

afterEach(async () => {
  await log.close();
  await forwarder.stop();
  await platform.stop();
});

function read(fromOffset: number, waitMs = 0) {
  return log.read({ stream: STREAM, fromOffset, maxCount: 10, waitMs });
}

describe('append', () => {
  it('returns the offset of the first record', async () => {
    expect(await log.append(STREAM, ['a', 'b'])).toBe(0);
    expect(await log.append(STREAM, ['c'])).toBe(2);
  });

  async function doFaultTest(faults: Partial<PlatformFaults>, standing: readonly unknown[]) {
    platform.setFaults(faults);
    await expect(log.append(STREAM, ['a'])).rejects.toMatchObject({ kind: 'log-unavailable' });
    expect(platform.listRecords(STREAM)).toEqual(standing);
  }

  // The log takes the record, then the connection breaks before its answer. The adapter must not
  // repeat the append by itself: only the writer knows the record's id and can read it back.
  it('fails without a repeat where the answer is lost after the append took effect', () =>
    doFaultTest({ lostAppendAnswerCount: 1 }, ['a']));

  it('fails in an outage', () => doFaultTest({ logOutage: 'unavailable' }, []));

  it('fails within its timeout where nobody answers', () =>
    doFaultTest({ logOutage: 'silent' }, []));

  // A middlebox forgets the connection to the log: one append fails, the next must not wait for
  // the same dead connection again.
  it('works again after a connection went silent', async () => {
    await log.append(STREAM, ['a']);
    await nextTurn(); // The pool takes its connection back.
    forwarder.silenceOpen();
    await expect(log.append(STREAM, ['b'])).rejects.toMatchObject({ kind: 'log-unavailable' });
    expect(await log.append(STREAM, ['c'])).toBe(1);
  });
});

describe('read', () => {
  it('reads records in order from an offset', async () => {
    platform.append(STREAM, ['a', 'b', 'c']);
    const entries = [
      { offset: 1, payload: 'b' },
      { offset: 2, payload: 'c' },
    ];
    expect(await read(1)).toEqual({ type: 'entries', entries, endOffset: 3 });
  });

  it('waits for the next record', async () => {
    const answer = read(0, LONG_WAIT_MS);
    await expect.poll(() => platform.getStats().readCount).toBe(1);
    platform.append(STREAM, ['a']);
    expect(await answer).toMatchObject({ entries: [{ offset: 0, payload: 'a' }], endOffset: 1 });
  });

  // A reader falls behind the retention. It must learn that records are gone rather than take
  // the rest for everything.
  it('tells that the offset is no longer kept', async () => {
    platform.append(STREAM, ['a', 'b', 'c']);
    platform.setRetention(STREAM, { keepCount: 1 });
    expect(await read(1)).toEqual({ type: 'truncated', firstOffset: 2 });
  });

  // An outage begins while a reader waits on a long poll.
  it('fails where the log goes down during the wait', async () => {
    const answer = read(0, LONG_WAIT_MS);
    const failed = expect(answer).rejects.toMatchObject({ kind: 'log-unavailable' });
    await expect.poll(() => platform.getStats().readCount).toBe(1);
    await platform.stop();
    await failed;
  });
});
