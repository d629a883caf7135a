import { beforeEach, describe, expect, it } from 'vitest';
import type { StartRefusal, TaskStart } from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { LeasedTargetsStandIn } from '../../standins/leasedTargets/index.js';

const LEASE_MS = 1_000;
const TASK_NAME = 'a.0.0.0';

function address(targetId: string) {
  return { targetId, host: '10.0.0.1', port: 80 };
}

describe('LeasedTargetsStandIn', () => {
  let clock: ManualClock;
  let targets: LeasedTargetsStandIn;

  beforeEach(() => {
    clock = new ManualClock();
    targets = new LeasedTargetsStandIn(clock);
    targets.longestHoldMs = 0;
    targets.add('t1');
    targets.add('t2');
  });

  function makeStart(run: number, changes: Partial<TaskStart> = {}): TaskStart {
    const leaseUntilTargetMs = clock.monotonicMs() + LEASE_MS;
    return { taskName: TASK_NAME, run, payload: '', leaseUntilTargetMs, term: 1, ...changes };
  }

  async function start(targetId: string, run: number, changes?: Partial<TaskStart>) {
    return targets.start(address(targetId), makeStart(run, changes));
  }

  async function renew(targetId: string, acknowledgedEndNumber: number, term = 1) {
    const renewal = { term, acknowledgedEndNumber, waitMs: 0 };
    return targets.renew(address(targetId), renewal);
  }

  /** Holds up a start of run 1 on `t1`, which throws as it gets no answer. */
  async function holdStart(): Promise<void> {
    targets.setFaults('t1', { appliesFirstStartsLate: true });
    await expect(start('t1', 1)).rejects.toThrow('not answered');
  }

  it('sees two runs at a time, also with one number, and on one target', async () => {
    await start('t1', 1);
    await start('t2', 1);
    await start('t2', 2);
    expect(targets.violations).toEqual(Array(2).fill(`${TASK_NAME} runs twice`));
    expect(targets.begun).toHaveLength(3);
  });

  it('sees a start after the end, until the lease lapses without an acknowledgement', async () => {
    await start('t1', 1);
    targets.finish(TASK_NAME, 'done');
    await start('t2', 2);
    expect(targets.violations).toEqual([`${TASK_NAME} began again after its end`]);
    targets.get('t2').end(TASK_NAME, 'failed');
    clock.advance(LEASE_MS);
    await start('t2', 3);
    expect(targets.violations).toHaveLength(1);
  });

  it.each(['lapse', 'crash', 'next lifetime'])('keeps an acknowledged end (%s)', async (loss) => {
    await start('t1', 1);
    targets.finish(TASK_NAME, 'done');
    await renew('t1', 1);
    if (loss === 'lapse') clock.advance(LEASE_MS);
    else if (loss === 'crash') targets.crash('t1');
    else targets.remove('t1');
    await start('t2', 2);
    expect(targets.violations).toEqual([`${TASK_NAME} began again after its end`]);
  });

  it('loses an end that nobody has acknowledged with a crash', async () => {
    await start('t1', 1);
    targets.finish(TASK_NAME, 'done');
    targets.crash('t1');
    await start('t2', 2);
    expect(targets.violations).toEqual([]);
  });

  it('carries a late start out, though its repeat was refused', async () => {
    await holdStart();
    targets.setFaults('t1', { refusesStarts: 'no-room' });
    expect(await start('t1', 1)).toMatchObject({ type: 'refused', reason: 'no-room' });
    targets.applyLateStarts('t2');
    expect(targets.begun).toEqual([]);
    targets.applyLateStarts('t1');
    expect(targets.begun).toEqual([{ targetId: 't1', taskName: TASK_NAME, run: 1 }]);
  });

  it.each(['newer term', 'stopped run', 'lapsed lease', 'next lifetime'])(
    'judges a late start when it is carried out (%s)',
    async (change) => {
      await holdStart();
      if (change === 'newer term') await renew('t1', 0, 2);
      else if (change === 'stopped run') await targets.stop(address('t1'), TASK_NAME, 1, 1);
      else if (change === 'lapsed lease') clock.advance(LEASE_MS);
      else targets.remove('t1');
      targets.applyLateStarts();
      expect(targets.begun).toEqual([]);
    },
  );

  it.each<readonly [StartRefusal, string]>([
    ['unhealthy', 'refused'],
    ['malformed', 'refused'],
    ['no-room', 'started'],
    ['lease-past', 'started'],
    ['bad-ticket', 'started'],
  ])('answers the repeat of a run that is there (%s: %s)', async (reason, type) => {
    await start('t1', 1);
    targets.setFaults('t1', { refusesStarts: reason });
    expect(await start('t1', 1)).toMatchObject({ type });
    expect(await start('t1', 2)).toMatchObject({ type: 'refused', reason });
    expect(targets.begun).toHaveLength(1);
  });
});
