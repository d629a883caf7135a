import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { send } from '../daemon/support/callDaemon.js';
import { World } from '../daemon/support/World.js';

let world: World;

beforeEach(async () => {
  world = new World();
  await world.start();
});

afterEach(() => world.stop());

describe('a long outage of the log', () => {
  // Story: the log is out for longer than every lease. Searches go on at every daemon as if nothing
  // had happened; saves are refused at once, and run when the log is back.
  it('leaves idempotent work alone', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    world.platform.setFaults({ logOutage: 'silent' });
    const hasLost = () => home.process.logLines.some((line) => line.event === 'leaseLost');
    await world.waitFor(hasLost);
    const searches = world.daemons.map((daemon) => send(daemon, { kind: 'search' }));
    const answers = await Promise.all(searches);
    expect(answers.map(({ outcome }) => outcome)).toEqual(['run', 'run', 'run']);
    const refused = await send(world.daemons[0]!, { kind: 'save', requestId: 'save-1' });
    expect(refused).toMatchObject({ status: 503, outcome: 'not-run' });
    world.platform.setFaults({ logOutage: 'none' });
    const repeat = { kind: 'save', requestId: 'save-1' };
    await world.waitFor(async () => (await send(world.daemons[1]!, repeat)).outcome === 'run');
    expect(world.countStarts('save-1')).toBe(1);
  });

  // Story: the log is out, and in the middle of the outage the home of a pool is killed. No other
  // instance can become the home before the log is back, yet searches must not stop for hours.
  it('does not take a pool down whose home is killed meanwhile', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    const others = world.daemons.filter((daemon) => daemon !== home);
    world.platform.setFaults({ logOutage: 'unavailable' });
    const knowsOutage = ({ process }: (typeof others)[number]) =>
      process.logLines.some((line) => line.event === 'logUnreachable');
    await world.waitFor(() => others.every(knowsOutage));
    await home.process.kill();
    const search = async () => (await send(others[0]!, { kind: 'search' })).outcome === 'run';
    await world.waitFor(search);
    const answers = await Promise.all(others.map((daemon) => send(daemon, { kind: 'search' })));
    expect(answers.map(({ outcome }) => outcome)).toEqual(['run', 'run']);
    world.platform.setFaults({ logOutage: 'none' });
    await world.waitForHomes(2, others[0]);
    const save = await send(others[1]!, { kind: 'save', requestId: 'save-1' });
    expect(save).toMatchObject({ status: 200, outcome: 'run' });
  });
});
