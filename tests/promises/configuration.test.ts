import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { operate, type RunningDaemon, send } from '../daemon/support/callDaemon.js';
import { WIKI_SETTINGS, World } from '../daemon/support/World.js';
import { TcpForwarder } from '../support/TcpForwarder.js';

let world: World;

beforeEach(async () => {
  world = new World();
  await world.start();
});

afterEach(() => world.stop());

function withSlots(neededSlotCount: number): string {
  const document = JSON.parse(WIKI_SETTINGS);
  document.pools.pages.neededSlotCount = neededSlotCount;
  return JSON.stringify(document);
}

async function readVersion(daemon: RunningDaemon): Promise<number> {
  const answer = await operate(daemon, 'GET', '/operators/v1/settings');
  return (answer.body as unknown as { version: number }[])[0]?.version ?? 0;
}

async function publishOk(document: string, baseVersion: number, daemon: RunningDaemon) {
  const answer = await world.publish(document, baseVersion, daemon);
  expect(answer.status).toBe(200);
  return (answer.body as unknown as { version: number }).version;
}

describe('configuration', () => {
  // Story: an operator's change is accepted, and the instance that said so is killed at once, while
  // the log goes out in the same moment. The change must be in force everywhere all the same, on an
  // instance that starts during the outage as soon as the log is back, and never be replaced by the
  // former version.
  it('stays in force when its instance is killed and the log goes out', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const [first, second, third] = world.daemons;
    const before = await readVersion(first!);
    const version = await publishOk(withSlots(6), before, first!);
    world.platform.setFaults({ logOutage: 'unavailable' });
    await first!.process.kill();
    const fourth = await world.startDaemon('entry-4');
    await world.waitFor(async () => (await readVersion(second!)) >= version);
    await world.waitFor(async () => (await readVersion(third!)) >= version);
    world.platform.setFaults({ logOutage: 'none' });
    await world.waitFor(async () => (await readVersion(fourth)) > 0);
    expect(await readVersion(fourth)).toBe(version);
  });

  // Story: one instance loses its way to the log, while the others keep theirs. An operator drains
  // and publishes through another instance. The one that is cut off gets the change from a peer.
  it('reaches an instance that cannot read the log, from its peers', async () => {
    const forwarder = new TcpForwarder(world.logPort);
    await forwarder.start();
    await world.startDaemon('entry-1');
    const cutOff = await world.startDaemon('entry-2', forwarder.port);
    await world.publish(WIKI_SETTINGS, 0);
    await world.waitForHomes(2);
    await forwarder.stop();
    const version = await publishOk(withSlots(6), await readVersion(cutOff), world.daemons[0]!);
    await world.waitFor(async () => (await readVersion(cutOff)) === version);
  });

  // Story: two operators change the same settings at the same time, each from the version that was
  // in force. One is accepted; the other is told that somebody was first, and by whom.
  it('accepts one of two operators who publish at once', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    const base = await readVersion(world.daemons[0]!);
    const answers = await Promise.all(
      world.daemons.map((daemon, index) => world.publish(withSlots(5 + index), base, daemon)),
    );
    expect(answers.map(({ status }) => status).toSorted()).toEqual([200, 409]);
    const loser = answers.find(({ status }) => status === 409)!;
    expect(loser.body).toMatchObject({ kind: 'settings-conflict', outcome: 'not-run' });
  });

  // Story: the log keeps records for a limited time. All entry VMs are replaced one after the
  // other, and by then the records of the settings are gone. What is in force comes from a
  // snapshot.
  it('survives the retention and the replacement of every instance', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    const version = await readVersion(world.daemons[0]!);
    const hasSnapshot = () =>
      world.daemons.some(({ process }) =>
        process.logLines.some(
          (line) => line.event === 'snapshotWritten' && Number(line.nextOffset) > version,
        ),
      );
    await world.waitFor(hasSnapshot);
    world.platform.setRetention('control', { keepCount: 5 });
    const next = [await world.startDaemon('entry-3'), await world.startDaemon('entry-4')];
    const [first, second] = world.daemons;
    first!.process.signal('SIGTERM');
    second!.process.signal('SIGTERM');
    await Promise.all([first!.process.ended, second!.process.ended]);
    await world.waitForHomes(2, next[0]);
    expect(await Promise.all(next.map(readVersion))).toEqual([version, version]);
    expect(await send(next[0]!, { kind: 'search' })).toMatchObject({ status: 200 });
  });
});
