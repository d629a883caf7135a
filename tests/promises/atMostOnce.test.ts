import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { send } from '../daemon/support/callDaemon.js';
import { World } from '../daemon/support/World.js';

const LONG_RUN_MS = 3_000;

let world: World;

beforeEach(async () => {
  world = new World();
  await world.start();
});

afterEach(() => world.stop());

describe('a non-idempotent request runs at most once', () => {
  // Story: a field crew saves a page. The entry VM sends the save to a target and is killed before
  // the answer. The crew's client repeats the save, with its id, at another entry VM while the
  // first run still goes on, and once more after the killed daemon's lease has run out.
  it('when its entry instance is killed between send and answer', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    const [entry, other] = world.daemons.filter((daemon) => daemon !== home);
    const job = { kind: 'save', requestId: 'save-1', body: { runMs: LONG_RUN_MS } };
    const first = send(entry!, job).catch(() => 'broken off');
    await world.waitFor(() => world.countStarts('save-1') === 1);
    await entry!.process.kill();
    expect(await first).toBe('broken off');
    expect(await send(other!, job)).toMatchObject({ status: 409, outcome: 'unknown' });
    await world.waitForHomes(2, home);
    expect(await send(other!, job)).toMatchObject({
      outcome: 'unknown',
      body: { kind: 'outcome-unknown' },
    });
    expect(world.countStarts('save-1')).toBe(1);
  });

  // Story: the pool's home is killed while a save runs. The caller, whose connection leads to
  // another instance, repeats the save there; by then a new home decides, which has only the log.
  it('when the home is killed while the request runs', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    const [entry, other] = world.daemons.filter((daemon) => daemon !== home);
    const job = { kind: 'save', requestId: 'save-1', body: { runMs: LONG_RUN_MS } };
    const first = send(entry!, job);
    await world.waitFor(() => world.countStarts('save-1') === 1);
    await home.process.kill();
    expect(await first).toMatchObject({ status: 200, outcome: 'run' });
    await world.waitForHomes(2, entry);
    await world.waitFor(async () => (await send(other!, job)).body.kind === 'already-run');
    expect(world.countStarts('save-1')).toBe(1);
  });

  // Story: an entry VM that is also the pool's home is killed while a save runs. Nobody is left who
  // knows of it but the log.
  it('when entry and home are killed together', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    const [other] = world.daemons.filter((daemon) => daemon !== home);
    const job = { kind: 'save', requestId: 'save-1', body: { runMs: LONG_RUN_MS } };
    const first = send(home, job).catch(() => 'broken off');
    await world.waitFor(() => world.countStarts('save-1') === 1);
    await home.process.kill();
    await first;
    await world.waitForHomes(2, other);
    expect(await send(other!, job)).toMatchObject({
      outcome: 'unknown',
      body: { kind: 'outcome-unknown' },
    });
    expect(world.countStarts('save-1')).toBe(1);
  });

  // Story: the home is stopped for longer than its lease, and another instance takes the pool over
  // and runs a save. The home wakes, still holds the old view, and gets the same save from a
  // caller right then.
  it('when a frozen home wakes after it was taken over', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    const [entry] = world.daemons.filter((daemon) => daemon !== home);
    const job = { kind: 'save', requestId: 'save-1' };
    home.process.signal('SIGSTOP');
    await world.waitForHomes(2, entry);
    expect(await send(entry!, job)).toMatchObject({ status: 200, outcome: 'run' });
    const late = send(home, job);
    home.process.signal('SIGCONT');
    expect((await late).outcome).not.toBe('not-run');
    expect(world.countStarts('save-1')).toBe(1);
  });

  // Story: the log is out when a save comes in. The caller is told at once that it did not run and
  // when to come back, and repeats it after the outage.
  it('when the log is out, and says so at once', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    const job = { kind: 'save', requestId: 'save-1' };
    world.platform.setFaults({ logOutage: 'unavailable' });
    const answer = await send(world.daemons[0]!, job);
    expect(answer).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(Number(answer.retryAfterS)).toBeGreaterThan(0);
    expect(world.countStarts('save-1')).toBe(0);
    world.platform.setFaults({ logOutage: 'none' });
    await world.waitFor(async () => (await send(world.daemons[1]!, job)).outcome === 'run');
    expect(world.countStarts('save-1')).toBe(1);
  });

  // Story: the log takes a claim, but its answer is lost on the way, as the brief says it happens.
  // The claim must neither be lost nor counted twice.
  it('when the answers to appends are lost', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    world.platform.setFaults({ lostAppendAnswerCount: 3 });
    const job = { kind: 'save', requestId: 'save-1' };
    const answer = await send(world.daemons[0]!, job);
    expect(answer).toMatchObject({ status: 200, outcome: 'run' });
    const repeat = async () => (await send(world.daemons[1]!, job)).body.kind === 'already-run';
    await world.waitFor(repeat);
    expect(world.countStarts('save-1')).toBe(1);
  });
});
