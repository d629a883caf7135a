import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { send } from './support/callDaemon.js';
import { World } from './support/World.js';

let world: World;

beforeEach(async () => {
  world = new World();
  await world.start();
});

afterEach(() => world.stop());

describe('the whole path', () => {
  it('serves a job at each daemon, whichever of them is the home of the pool', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const answers = await Promise.all(
      world.daemons.map((daemon, index) =>
        send(daemon, { kind: 'save', requestId: `save-${index}` }),
      ),
    );
    const expected = world.daemons.map((_daemon, index) => ({
      status: 200,
      outcome: 'run',
      requestId: `save-${index}`,
      body: { requestId: `save-${index}` },
    }));
    expect(answers).toMatchObject(expected);
    expect(answers.map((_answer, index) => world.countStarts(`save-${index}`))).toEqual([1, 1, 1]);
  });
});
