import { describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/utils/index.js';
import { LinkedStore, measurePageRecord, NarrowLink } from '../../standins/links/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

/** One byte takes a millisecond. */
const BITS_PER_MS = 8;
/** Lateness of timers on a busy machine, in milliseconds. */
const LATENESS_MS = 400;
const TOPIC = 'jobs';

/** Carries transfers that begin at the same moment, and tells when each has ended. */
async function carry(link: NarrowLink, sizesBytes: readonly number[]): Promise<readonly number[]> {
  const clock = new SystemClock();
  const beganAtMs = clock.monotonicMs();
  const waits = sizesBytes.map(async (sizeBytes) => {
    await link.transfer('down', sizeBytes);
    return clock.monotonicMs() - beganAtMs;
  });
  return Promise.all(waits);
}

describe.concurrent('NarrowLink', () => {
  // Guards against a link on which transfers beside each other are as fast as each alone.
  it('carries one transfer after the other', async ({ expect: expectHere }) => {
    const [first, second] = await carry(new NarrowLink({ bitsPerMs: BITS_PER_MS }), [600, 100]);
    expectHere(first).toBeGreaterThanOrEqual(600);
    expectHere(second).toBeGreaterThanOrEqual(700);
    expectHere(second).toBeLessThan(700 + LATENESS_MS);
  });

  // Guards against a window that doesn't let a short transfer pass a long one.
  it('lets others have their turn after each window', async ({ expect: expectHere }) => {
    const link = new NarrowLink({ bitsPerMs: BITS_PER_MS, windowBytes: 100 });
    const [long, short] = await carry(link, [1_500, 100]);
    expectHere(short).toBeLessThan(200 + LATENESS_MS);
    expectHere(long).toBeGreaterThanOrEqual(1_600);
  });

  // Guards against callers' traffic that takes nothing from what the instance sends.
  it('is as much narrower as others take of it', async ({ expect: expectHere }) => {
    const link = new NarrowLink({ bitsPerMs: BITS_PER_MS, takenShare: 0.5 });
    expectHere((await carry(link, [300]))[0]).toBeGreaterThanOrEqual(600);
  });
});

describe('LinkedStore', () => {
  const maxPage = { maxCount: 3, maxBytes: 1_000, measure: measurePageRecord };
  const store = new StoreStandIn({ partitionCount: 1, maxPage });

  async function append(keys: readonly string[], sizeBytes: number): Promise<void> {
    const records = keys.map((key) => ({ key, value: Buffer.alloc(sizeBytes) }));
    await store.append({ topic: TOPIC, partition: 0, records, timeoutMs: 1_000 });
  }

  // Guards against a reading that gets all records in one page, however many there are.
  it('reads pages of limited count and size', async () => {
    const linked = new LinkedStore(store, new NarrowLink({ bitsPerMs: 1_000_000 }));
    await append(['a', 'b', 'c', 'd'], 10);
    await append(['e', 'f'], 600);
    const pages = [await linked.readNewest(TOPIC, 0)];
    pages.push(await linked.readNewest(TOPIC, 0, pages[0]!.nextAfterKey));
    pages.push(await linked.readNewest(TOPIC, 0, pages[1]!.nextAfterKey));
    const keys = pages.map(({ records }) => records.map(({ key }) => key).join(''));
    expect(keys).toEqual(['abc', 'de', 'f']);
    expect(pages.map(({ nextAfterKey }) => nextAfterKey)).toEqual(['c', 'e', undefined]);
  });

  // Guards against a call that frees the link once its caller has given it up.
  it('uses the link for an answer that comes too late', async () => {
    const link = new NarrowLink({ bitsPerMs: BITS_PER_MS * 4 });
    const linked = new LinkedStore(store, link);
    const request = { topic: TOPIC, partition: 0, records: [], timeoutMs: 20 };
    await expect(linked.append(request)).rejects.toThrow('No answer');
    await expect.poll(() => link.carriedBytes.down, { timeout: 5_000 }).toBeGreaterThan(0);
  });
});
