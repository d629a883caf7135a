import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { AttendedClock } from '../../standins/links/index.js';
import { makeLargeRecord, makeSmallRecord } from './configurationRecords.js';
import { IN_FORCE_WITHIN_MS, NarrowWorld, PEERS } from './NarrowWorld.js';

/** Time for which an entry waits for a home, in milliseconds. */
const HOME_WAIT_MS = 1_200;
/** Time in which retries would show, in milliseconds. */
const WATCHED_MS = 4_000;
/** Age of a configuration shortly before the store ends its wait for a change, in milliseconds. */
const OLD_MS = 850;
/** Age by which no reading from before a cut is under way, in milliseconds. */
const CUT_MS = 1_100;
const AT_ONCE = { timeout: 4_000, interval: 5 };

describe('a configuration over a narrow link', () => {
  const worlds: NarrowWorld[] = [];

  afterEach(() => worlds.splice(0).forEach((world) => world.stop()));

  async function startWorld(linkMbps: number, peers = PEERS): Promise<NarrowWorld> {
    const world = new NarrowWorld({ linkMbps, peers, clock: new AttendedClock() });
    worlds.push(world);
    await world.publish(makeSmallRecord(1));
    world.start();
    await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(1), 4_000);
    return world;
  }

  // Failure: a large version comes from the store and three peers at once, and nothing else passes.
  it('carries a large version about once, and short calls beside it', async () => {
    const world = await startWorld(7);
    const record = makeLargeRecord(2);
    await vi.waitFor(() => expect(world.narrow.ageMs).toBeGreaterThan(OLD_MS), AT_ONCE);
    const beforeBytes = world.link.carriedBytes.down;
    await world.publish(record);
    const publishedAtMs = world.clock.monotonicMs();
    await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(2), 8_000);
    expect(world.clock.monotonicMs() - publishedAtMs).toBeLessThan(IN_FORCE_WITHIN_MS);
    await sleep(WATCHED_MS);
    expect(world.link.carriedBytes.down - beforeBytes).toBeLessThan(1.5 * record.length);
    expect(world.longestCallMs).toBeLessThan(HOME_WAIT_MS);
  }, 20_000);

  // Failure: an instance that the store turns away gets a large version too late, from three peers.
  it.each([7, 2])(
    'brings a large version from peers in time, over %s Mbit/s',
    async (linkMbps) => {
      const world = await startWorld(linkMbps);
      world.access.isCut = true;
      await vi.waitFor(() => expect(world.narrow.ageMs).toBeGreaterThan(CUT_MS), AT_ONCE);
      await world.publish(makeLargeRecord(2));
      const publishedAtMs = world.clock.monotonicMs();
      await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(2), 12_000);
      expect(world.clock.monotonicMs() - publishedAtMs).toBeLessThan(IN_FORCE_WITHIN_MS);
    },
    20_000,
  );

  // Failure: the newest version waits behind those that it has replaced while the store was away.
  it('reads the newest of several large versions in time after an outage', async () => {
    const world = await startWorld(7, []);
    world.access.isCut = true;
    await vi.waitFor(() => expect(world.narrow.ageMs).toBeGreaterThan(CUT_MS), AT_ONCE);
    const versions = [2, 3, 4, 5];
    await Promise.all(versions.map((version) => world.publish(makeLargeRecord(version))));
    world.access.isCut = false;
    const backAtMs = world.clock.monotonicMs();
    await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(5), 12_000);
    expect(world.clock.monotonicMs() - backAtMs).toBeLessThan(IN_FORCE_WITHIN_MS);
  }, 20_000);
});
