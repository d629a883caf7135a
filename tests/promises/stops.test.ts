import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { operate, send } from '../daemon/support/callDaemon.js';
import { WIKI_SETTINGS, World } from '../daemon/support/World.js';

let world: World;

beforeEach(async () => {
  world = new World();
  await world.start();
});

afterEach(() => world.stop());

interface ControlBody {
  readonly type: string;
  readonly settlements?: readonly { readonly requestId: string; readonly outcome: string }[];
}

/** How the records of a daemon end that is the last one and had `save-1` in progress. */
const SETTLED_THEN_LEFT = [
  { type: 'requests-settled', settlements: [{ requestId: 'save-1', outcome: 'run' }] },
  { type: 'instance-left' },
];

/**
 * Lists what stands on the log but for renewals of a lease. Those fall due at any moment until an
 * instance has left, and none may follow, so one at the very end is kept.
 */
function listFacts(): readonly ControlBody[] {
  return world.platform
    .listRecords('control')
    .map((record) => (record as { body: ControlBody }).body)
    .filter(({ type }, index, all) => type !== 'instance-renewed' || index === all.length - 1);
}

describe('a planned stop of a daemon', () => {
  // Story: entry VMs are replaced in the morning. A save and an export are in progress at the
  // daemon that is told to stop, which is also the pool's home. Both have to be answered whole, and
  // the process ends by itself with exit code 0.
  it('finishes the requests in progress and hands its pools over', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    const home = await world.getHome();
    const other = world.daemons.find((daemon) => daemon !== home)!;
    const jobs = [
      send(home, { kind: 'save', requestId: 'save-1', body: { runMs: 2_000 } }),
      send(home, { kind: 'search', requestId: 'search-1', body: { runMs: 2_000 } }),
      send(other, { kind: 'save', requestId: 'save-2', body: { runMs: 2_000 } }),
    ];
    await world.waitFor(() => world.targets.listStarts().length === jobs.length);
    home.process.signal('SIGTERM');
    const next = await send(other, { kind: 'save', requestId: 'save-3' });
    expect(next).toMatchObject({ status: 200, outcome: 'run' });
    const answers = await Promise.all(jobs);
    expect(answers.map(({ status, outcome }) => `${status} ${outcome}`)).toEqual(
      jobs.map(() => '200 run'),
    );
    expect(await home.process.ended).toEqual({ code: 0, signal: null });
    const repeat = { kind: 'save', requestId: 'save-1', body: { runMs: 2_000 } };
    expect(await send(other, repeat)).toMatchObject({ body: { kind: 'already-run' } });
  });
});

describe('the stop of the last daemon', () => {
  // Story: all daemons are stopped at once. The last one has a save in progress and hands its pool
  // to nobody; it waited a whole minute for a home that would take the outcome.
  it('records the outcome of its last save before it gives its pools up', async () => {
    await world.startDaemons(['entry-1']);
    const [only] = world.daemons;
    const save = send(only!, { kind: 'save', requestId: 'save-1', body: { runMs: 500 } });
    await world.waitFor(() => world.countStarts('save-1') === 1);
    only!.process.signal('SIGTERM');
    expect(await save).toMatchObject({ status: 200, outcome: 'run' });
    expect(await only!.process.ended).toEqual({ code: 0, signal: null });
    expect(listFacts().slice(-2)).toMatchObject(SETTLED_THEN_LEFT);
    expect(listFacts().filter(({ type }) => type === 'instance-left')).toHaveLength(1);
  });

  // Story: the last daemon stops with a save in progress that outlasts its lease, and the log takes
  // 0.6 s for each append and each read. Renewals go on until the outcome is read back: without its
  // lease the daemon could lose the pool before the outcome is recorded.
  it('keeps its lease until the outcome of its last save is on a slow log', async () => {
    await world.startDaemons(['entry-1']);
    const [only] = world.daemons;
    const save = send(only!, { kind: 'save', requestId: 'save-1', body: { runMs: 6_000 } });
    await world.waitFor(() => world.countStarts('save-1') === 1);
    world.platform.setFaults({ logDelayMs: 600 });
    only!.process.signal('SIGTERM');
    expect(await save).toMatchObject({ status: 200, outcome: 'run' });
    expect(await only!.process.ended).toEqual({ code: 0, signal: null });
    expect(listFacts().slice(-2)).toMatchObject(SETTLED_THEN_LEFT);
    expect(listFacts().filter(({ type }) => type === 'instance-left')).toHaveLength(1);
    const events = only!.process.logLines.map(({ event }) => event);
    const ends = events.filter((event) => event === 'homeClosed' || event === 'leaseLost');
    expect(ends).toEqual(['homeClosed', 'leaseLost']);
  });
});

describe('the stop of all daemons at once', () => {
  // Story: every daemon is told to stop at the same moment, and each has a save in progress. Each
  // saw the other one as joined, left the pool to it and waited its whole limit for a home that
  // would take the outcome. The processes ended, and repeats of both saves were told "unknown".
  it('records the outcomes of all saves, though each leaves the pool to the other', async () => {
    const names = ['entry-1', 'entry-2'];
    const extra = { stopWaitMs: 20_000 };
    await Promise.all(names.map((name) => world.startDaemon(name, world.logPort, extra)));
    await world.publish(WIKI_SETTINGS, 0);
    await world.waitForHomes(names.length);
    const saves = world.daemons.map((daemon) =>
      send(daemon, { kind: 'save', requestId: `save-${daemon.name}`, body: { runMs: 1_000 } }),
    );
    await world.waitFor(() => world.targets.listStarts().length === saves.length);
    // With this delay neither hears in time that the other one stops as well.
    world.platform.setFaults({ logDelayMs: 200 });
    world.daemons.forEach((daemon) => daemon.process.signal('SIGTERM'));
    const answers = await Promise.all(saves);
    expect(answers.map(({ outcome }) => outcome)).toEqual(['run', 'run']);
    const ends = await Promise.all(world.daemons.map((daemon) => daemon.process.ended));
    expect(ends).toEqual(names.map(() => ({ code: 0, signal: null })));
    const settled = listFacts().flatMap(({ settlements = [] }) => settlements);
    const outcomes = settled.map(({ requestId, outcome }) => `${requestId} ${outcome}`);
    expect(new Set(outcomes)).toEqual(new Set(['save-entry-1 run', 'save-entry-2 run']));
    expect(listFacts().at(-1)).toMatchObject({ type: 'instance-left' });
  });
});

describe('a target that is leaving', () => {
  // Story: the platform tells that a VM is leaving while the log has been out for longer than any
  // lease lasts. The list of VMs is all that is left to go by.
  it('gets no new work during an outage of the log either', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    const home = await world.getHome();
    world.platform.setFaults({ logOutage: 'unavailable' });
    const hasLost = () => home.process.logLines.some((line) => line.event === 'leaseLost');
    await world.waitFor(hasLost);
    const vms = await operate(home, 'GET', '/operators/v1/vms');
    const members = (vms.body as unknown as { vm: string; pool?: string }[]).filter(
      ({ pool }) => pool === 'wiki/pages',
    );
    const leaving = members[0]!.vm;
    await world.leave(leaving);
    await world.waitFor(async () => {
      const view = await operate(home, 'GET', '/operators/v1/vms');
      const rows = view.body as unknown as { vm: string; state: string }[];
      return rows.some(({ vm, state }) => vm === leaving && state === 'leaving');
    });
    const firstLate = world.targets.listStarts().length;
    const sends = Array.from({ length: 40 }, (_none, index) =>
      send(world.daemons[index % 2]!, { kind: 'search' }),
    );
    const outcomes = new Set((await Promise.all(sends)).map(({ status }) => status));
    expect(outcomes).toEqual(new Set([200]));
    const late = world.targets.listStarts().slice(firstLate);
    expect(late.filter(({ vm }) => vm === leaving)).toEqual([]);
  });

  // Story: the platform tells that a VM is leaving, and an operator drains another. Searches that
  // arrive at any daemon once it is known there must not be started on either.
  it('gets no new work, whoever said that it leaves', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const vms = await operate(world.daemons[0]!, 'GET', '/operators/v1/vms');
    const members = (vms.body as unknown as { vm: string; pool?: string }[]).filter(
      ({ pool }) => pool === 'wiki/pages',
    );
    const [drained, leaving] = members.map(({ vm }) => vm);
    const path = `/operators/v1/vms/${drained}/drain`;
    await operate(world.daemons[1]!, 'POST', path, { author: 'operator' });
    await world.leave(leaving!);
    const isKnown = async () => {
      const views = await Promise.all(
        world.daemons.map((daemon) => operate(daemon, 'GET', '/operators/v1/vms')),
      );
      return views.every((view) => {
        const rows = view.body as unknown as { vm: string; state: string; drainedBy?: string }[];
        const find = (name: string) => rows.find(({ vm }) => vm === name)!;
        return find(leaving!).state === 'leaving' && find(drained!).drainedBy === 'operator';
      });
    };
    await world.waitFor(isKnown);
    await world.waitForHomes(3);
    const firstLate = world.targets.listStarts().length;
    const sends = Array.from({ length: 60 }, (_none, index) =>
      send(world.daemons[index % 3]!, { kind: 'search' }),
    );
    const outcomes = new Set((await Promise.all(sends)).map(({ status }) => status));
    expect(outcomes).toEqual(new Set([200]));
    const used = new Set(
      world.targets
        .listStarts()
        .slice(firstLate)
        .map(({ vm }) => vm),
    );
    expect([...used].filter((vm) => vm === drained || vm === leaving)).toEqual([]);
  });
});
