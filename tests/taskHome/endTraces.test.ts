import { describe, expect, it, vi } from 'vitest';
import type { EventFields, EventName } from '../../src/logging/index.js';
import { type HomeWorld, makeJob, useHomeWorld } from './HomeWorld.js';

/** Short enough to lapse within a test, in milliseconds. */
const SHORT_LEASE_MS = 300;

describe('the log of an end', () => {
  let world: HomeWorld;

  useHomeWorld((fresh) => {
    world = fresh;
  });

  const listFields = (event: EventName): readonly EventFields[] =>
    world.events.events.filter((kept) => kept.event === event).map(({ fields }) => fields);

  it('tells at which offset and in which term it is stored, before the next home reads', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { endOffset: offsetBefore } = await world.store.readNewest('jobs', 0);
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(listFields('endsStored')).toHaveLength(1));
    const { endOffset } = await world.store.readNewest('jobs', 0);
    expect(endOffset).toBeGreaterThan(offsetBefore);
    expect(listFields('endsStored')[0]).toMatchObject({
      term: home.term,
      endOffset,
      taskNames: ['a.0.0.0'],
    });
    world.kill(home);
    const next = await world.open();
    expect(next.claimed.endOffset).toBeGreaterThan(endOffset);
    expect(listFields('endIgnored')).toEqual([]);
  });

  // Guards against an end that leaves no line as its target had counted as lost and came back.
  it('tells that it is ignored, as the task waits for another run', async () => {
    world.leaseMs = SHORT_LEASE_MS;
    world.targets.setFaults('t2', { isCutOff: true });
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const entry = world.entries.get('t1')!;
    world.entries.delete('t1');
    world.targets.setFaults('t1', { isCutOff: true });
    await vi.waitFor(() => expect(listFields('targetGone')).toHaveLength(1), 3_000);
    world.targets.setFaults('t1', { isCutOff: false });
    world.entries.set('t1', entry);
    await vi.waitFor(() => expect(listFields('endIgnored')).toHaveLength(1));
    expect(listFields('endIgnored')[0]).toEqual({
      taskName: 'a.0.0.0',
      run: 1,
      targetId: 't1',
      term: home.term,
      end: 'lapsed',
      reason: 'not-placed',
      phase: 'waiting',
      latestRun: 1,
    });
  });

  // Guards against a warning for each end that was stored but not acknowledged by an earlier home.
  it('does not warn of an end that an earlier home has stored', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { renew } = world.targets;
    vi.spyOn(world.targets, 'renew').mockImplementation((address, renewal) =>
      renew.call(world.targets, address, { ...renewal, acknowledgedEndNumber: 0 }),
    );
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(listFields('endsStored')).toHaveLength(1));
    world.kill(home);
    const next = await world.open();
    await vi.waitFor(() => expect(listFields('endsStored')).toHaveLength(2));
    expect(listFields('endsStored')[1]).toMatchObject({ term: next.term, taskNames: ['a.0.0.0'] });
    expect(listFields('endIgnored')).toEqual([]);
  });
});
