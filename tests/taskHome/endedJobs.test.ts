import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import {
  cancelJob,
  createJobRow,
  encodeEndedJob,
  encodeJobProgress,
  encodeJobSpec,
} from '../../src/jobs/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { type HomeWorld, makeJob, useHomeWorld } from './HomeWorld.js';

const END = { jobId: 'a', state: 'completed' } as const;

describe('jobs that have ended', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  const store = (records: readonly KeyedRecord[]) =>
    world.store.append({ topic: 'jobs', partition: 0, records, timeoutMs: 1_000 });

  const listStored = async (): Promise<readonly string[]> => {
    const { records } = await world.store.readNewest('jobs', 0);
    return records.filter(({ value }) => value !== undefined).map(({ key }) => key);
  };

  // A caller asks for the state of its job, or submits it again, after a change of homes. Only the
  // end of the job is still stored, so the next home must answer from that alone. If it treated the
  // job as unknown, it would deny the job or run a repeated submission a second time.
  it('are known to the next home, which runs a repeat of them no second time', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(async () => expect(await listStored()).toEqual(['term', 'progress/a']));
    world.kill(home);
    const next = await world.open();
    expect(next.getState('a')).toBe('completed');
    await next.submit(makeJob('a'));
    expect(await next.cancel('a')).toBe(true);
    expect(next.getState('a')).toBe('completed');
    expect(world.targets.begun).toHaveLength(1);
  });

  // Guards against a task that runs twice: the append with the end of its job is stored, the next
  // one with the removal of the specification is not, and the next home treats the job as new.
  it('do not begin anew where their specification is still stored', async () => {
    await store([encodeEndedJob(END), encodeJobSpec(makeJob('a'))]);
    const home = await world.open();
    expect(home.getState('a')).toBe('completed');
    await home.submit(makeJob('b'));
    await world.waitForRunning(['b.0.0.0']);
  });

  it('are taken over from records that still contain the whole job', async () => {
    const row = cancelJob(createJobRow(makeJob('a')), Date.now());
    await store([encodeJobSpec(row.spec), encodeJobProgress(row)]);
    const home = await world.open();
    expect(home.getState('a')).toBe('cancelled');
  });

  // A truncated record of an end contains no state. The job is skipped and logged, and the other
  // jobs of the partition get their home.
  it('are passed over where their record cannot be read', async () => {
    const { key, value } = encodeEndedJob(END);
    await store([{ key, value: value!.subarray(0, 10) }, encodeJobSpec(makeJob('b'))]);
    const home = await world.open();
    expect(home.getState('a')).toBeUndefined();
    await world.waitForRunning(['b.0.0.0']);
    expect(world.countEvents('recordUnreadable')).toBe(1);
  });

  it('are forgotten once their home has known their end for as long as callers may ask', async () => {
    world.keepFinishedMs = 300;
    await store([encodeEndedJob(END)]);
    const home = await world.open();
    expect(home.getState('a')).toBe('completed');
    await vi.waitFor(async () => expect(await listStored()).toEqual(['term']));
    expect(home.getState('a')).toBeUndefined();
  });

  // Guards against a job that is shown as completed and does not exist a second later: the wall
  // clock of its home jumped ahead by 40 minutes before that home opened, which made every end that
  // an earlier home had stored old enough to be forgotten.
  it.each([40, -40])('are kept by a home whose clock is %i minutes off', async (minutes) => {
    const row = cancelJob(createJobRow(makeJob('a')), Date.now());
    await store([encodeJobSpec(row.spec), encodeJobProgress(row)]);
    const clock = new SystemClock();
    const home = await world.open({
      monotonicMs: () => clock.monotonicMs(),
      wallMs: () => clock.wallMs() + minutes * 60_000,
    });
    home.tick();
    await sleep(100);
    expect(home.getState('a')).toBe('cancelled');
  });

  it('keep their specification while a task of them is still on its target', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { targetId } = world.targets.begun[0]!;
    world.targets.setFaults(targetId, { isCutOff: true });
    await home.cancel('a');
    expect(await listStored()).toContain('spec/a');
    world.targets.setFaults(targetId, { isCutOff: false });
    await vi.waitFor(async () => expect(await listStored()).not.toContain('spec/a'), 3_000);
    expect(home.getState('a')).toBe('cancelled');
  });
});
