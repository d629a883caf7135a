import { describe, expect as expectThat, it, vi } from 'vitest';
import type { TakeoverCase } from './TakeoverCase.js';
import { makeService, makeWaitingJob } from './takeoverRecords.js';
import { TakeoverWorld } from './TakeoverWorld.js';

/**
 * By hand, with the cases that take longer than CI may: `TAKEOVER_ALL=1 npx vitest run
 * tests/jobNode/takeoverOverNarrowLink.test.ts`. Left out of CI are 1,752 jobs over 3.5 and 2
 * Mbit/s, three pools of 600, and links on which a page goes through as a whole.
 */
const PLAYS_ALL = process.env.TAKEOVER_ALL === '1';
/** Links have small windows: a page doesn't hold up what is sent after it for its whole length. */
const WINDOW_BYTES = 64 * 1_024;
const POOL = 'archive';
const THREE_POOLS = [POOL, 'talk', 'search'];
/** Longest reading of the table, three pools at once, and as much again. */
const HOME_WITHIN_MS = 180_000;

type Size = Pick<TakeoverCase, 'jobCount' | 'linkMbps' | 'takenShare'>;

const TABLE: readonly Size[] = [138, 600, 1_752].flatMap((jobCount) =>
  [7, 3.5, 2].map((linkMbps) => ({ jobCount, linkMbps })),
);
const SHORT_TABLE = TABLE.filter(({ jobCount, linkMbps }) => jobCount < 1_752 || linkMbps === 7);
const THREE_AT_ONCE: readonly Size[] = [
  { jobCount: 138, linkMbps: 3.5 },
  ...(PLAYS_ALL ? [{ jobCount: 600, linkMbps: 7 }] : []),
];
const BESIDE_CALLERS: readonly Size[] = [
  { jobCount: 138, linkMbps: 3.5, takenShare: 0.5 },
  { jobCount: 600, linkMbps: 7, takenShare: 0.5 },
];

/** The cases share one process; with more of them at once its clock hardly moves. */
vi.setConfig({ maxConcurrency: 6, testTimeout: 400_000 });

/** Plays a takeover, and expects that callers and long-running tasks don't notice it. */
async function expectTakeover(
  expect: typeof expectThat,
  takeover: Partial<TakeoverCase> & Size,
  disturb?: (world: TakeoverWorld) => Promise<void>,
): Promise<void> {
  const world = new TakeoverWorld({ pools: [POOL], windowBytes: WINDOW_BYTES, ...takeover });
  await world.start();
  await world.killHome();
  const disturbed = disturb?.(world);
  const unknown = await world.askForAll(HOME_WITHIN_MS);
  await disturbed;
  const lapses = world.listLapses();
  const story = world.trace.tell();
  expect.soft(lapses, `No run lapses: ${story}`).toEqual([]);
  expect.soft(unknown, `Every accepted job is known: ${story}`).toEqual([]);
  expect.soft(world.denials, `No accepted job is denied: ${story}`).toEqual([]);
  expect.soft(world.cluster.targets.violations, `No task runs twice: ${story}`).toEqual([]);
  await world.cluster.stop();
}

describe.concurrent('a takeover over a narrow link', () => {
  // Guards against a home that renews no lease before it has read all that its partition stores.
  it.for(PLAYS_ALL ? TABLE : SHORT_TABLE)(
    'keeps what runs, with $jobCount waiting jobs over $linkMbps Mbit/s',
    (size, { expect }) => expectTakeover(expect, size),
  );

  // Guards against readings that add up where one instance takes several partitions over at once.
  it.for(THREE_AT_ONCE)(
    'keeps what runs of three pools, with $jobCount waiting jobs each over $linkMbps Mbit/s',
    (size, { expect }) => expectTakeover(expect, { ...size, pools: THREE_POOLS }),
  );

  // Guards against a reading that callers' traffic on the same link makes longer than a lease.
  it.for(BESIDE_CALLERS)(
    'keeps what runs beside callers, with $jobCount waiting jobs over $linkMbps Mbit/s',
    (size, { expect }) => expectTakeover(expect, size),
  );

  // Guards against renewals that wait for a long list of targets, read beside the partition.
  it('keeps what runs, with a list of 350 more targets over 3.5 Mbit/s', ({ expect }) =>
    expectTakeover(expect, { jobCount: 600, linkMbps: 3.5, otherTargetCount: 350 }));

  // Guards against renewals that wait until a page of a megabyte has gone through.
  it.for(PLAYS_ALL ? TABLE : [{ jobCount: 600, linkMbps: 3.5 }])(
    'keeps what runs behind whole pages, with $jobCount waiting jobs over $linkMbps Mbit/s',
    (size, { expect }) => expectTakeover(expect, { ...size, windowBytes: Infinity }),
  );

  // Guards against a bound that no home could keep: renewals sent at once over the link keep all.
  it.for([
    { jobCount: 600, linkMbps: 2, windowBytes: WINDOW_BYTES },
    { jobCount: 600, linkMbps: 2, windowBytes: Infinity },
  ])(
    'is possible with renewals sent at once, over $linkMbps Mbit/s in turns of $windowBytes',
    (size, { expect }) => expectTakeover(expect, size, (world) => world.renewMeanwhile()),
  );

  // Guards against a job that is lost as the earlier home stores it after the partition was read.
  it('knows a job that the earlier home stores just before the new term', async ({ expect }) => {
    let isStored = false;
    const job = makeWaitingJob(POOL, 10_000);
    await expectTakeover(expect, { jobCount: 138, linkMbps: 7 }, async (world) => {
      world.watch.beforeNewTerm(async () => {
        isStored = await world.storeLate(job);
      });
    });
    expect(isStored).toBe(true);
  });

  // Guards against a second run where the earlier home was frozen and its start comes late.
  it('runs no task twice though the earlier home wakes meanwhile', async ({ expect }) => {
    const job = makeService(POOL, 'late', 1, 1);
    await expectTakeover(expect, { jobCount: 138, linkMbps: 3.5 }, async (world) => {
      await world.waitForReading();
      await world.storeLate(job, `t-${POOL}-0`);
      await world.startLate(job, `t-${POOL}-0`);
      await world.waitForHome(POOL, HOME_WITHIN_MS);
      await world.startLate(job, `t-${POOL}-0`);
    });
  });

  // Guards against a partition that changes hands as its reader's membership ends behind a page.
  it('leaves the partition with its reader, whose membership is renewed behind whole pages', ({
    expect,
  }) => {
    const size = { jobCount: 600, linkMbps: 3.5, windowBytes: Infinity, hasThird: true };
    return expectTakeover(expect, size, async (world) => {
      await world.waitForHome(POOL, HOME_WITHIN_MS);
      expect(world.trace.getHighestCount('leasesTakenOver'), world.trace.tell()).toBe(1);
    });
  });

  // Guards against leases that nobody has renewed when the partition goes on to a third instance.
  it('keeps what runs though the reader loses the partition', ({ expect }) =>
    expectTakeover(expect, { jobCount: 600, linkMbps: 2, hasThird: true }, (world) =>
      world.cutReader(),
    ));
});
