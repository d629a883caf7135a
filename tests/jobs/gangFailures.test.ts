import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  countLateFailure,
  createJobRow,
  type DurableJobRow,
  endRun,
  isFinished,
  isUnheardRun,
  noteUnheardRun,
  placeTask,
} from '../../src/jobs/index.js';
import { packProgress, restoreJobRow } from '../../src/jobs/jobProgress.js';
import type { TaskEnd } from '../../src/targets/index.js';
import { makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

const MAX_ATTEMPTS = 3;
const NOW_MS = 5;
const MEMBERS = [0, 1, 2, 3] as const;

function createGang(): DurableJobRow {
  const steps = [makeStep({ taskCount: MEMBERS.length, isGang: true })];
  const terms = { ...TERMS, maxAttempts: MAX_ATTEMPTS };
  return createJobRow({ ...makeJob('a', steps), terms });
}

function placeAll(row: DurableJobRow): DurableJobRow {
  return MEMBERS.reduce<DurableJobRow>((before, member) => placeTask(before, member, 't'), row);
}

function end(row: DurableJobRow, member: number, how: TaskEnd): DurableJobRow {
  return endRun(row, member, { end: how, checkpoint: undefined }, NOW_MS);
}

/** Gives the run of a member up as its target is listed as gone, like a home that loses one. */
function lose(row: DurableJobRow, member: number): DurableJobRow {
  const { run } = row.tasks[member]!;
  return noteUnheardRun(end(row, member, 'lapsed'), member, run);
}

function hearLateFailure(row: DurableJobRow, member: number, run: number): DurableJobRow {
  return isUnheardRun(row, member, run) ? countLateFailure(row, member, run, NOW_MS) : row;
}

/** Stores a job, and reads it as the next home does. */
function store(row: DurableJobRow): DurableJobRow {
  return restoreJobRow(row.spec, packProgress(row));
}

function countFailures({ tasks }: DurableJobRow): number {
  return tasks.reduce((sum, { failureCount }) => sum + failureCount, 0);
}

/** How a member's run ends; a lost one may be heard to have failed after some more runs. */
interface MemberEnd {
  readonly how: 'failed' | 'lapsed' | 'stopped' | 'gang-broken' | 'gang-alone' | 'lost';
  /** For a lost one: after how many runs its failure is heard; undefined if it never is. */
  readonly heardAfterRuns: number | undefined;
}

const memberEnd: fc.Arbitrary<MemberEnd> = fc.record({
  how: fc.constantFrom(
    ...(['failed', 'failed', 'lapsed', 'stopped', 'gang-broken', 'gang-alone', 'lost'] as const),
  ),
  heardAfterRuns: fc.constantFrom(undefined, 0, 1, 2),
});

const gangRun = fc.record({
  ends: fc.tuple(memberEnd, memberEnd, memberEnd, memberEnd),
  order: fc.shuffledSubarray([...MEMBERS], { minLength: MEMBERS.length }),
  isStoredBetween: fc.boolean(),
});

describe('failures of a gang', () => {
  // Guards against a gang that is given up after one run, as one target fails several members.
  it('count once for each run', () => {
    const failedOnce = MEMBERS.reduce(
      (row, member) => end(row, member, 'failed'),
      placeAll(createGang()),
    );
    expect(failedOnce.state).not.toBe('failed');
    expect(countFailures(failedOnce)).toBe(1);
    const failedTwice = end(placeAll(store(failedOnce)), 3, 'failed');
    expect(failedTwice.state).not.toBe('failed');
    expect(end(placeAll(store(failedTwice)), 1, 'failed').state).toBe('failed');
  });

  // Guards against a failure that counts twice: known from one member, heard late of another one.
  it('count once where another member was given up unheard', () => {
    const [first, second] = [end, lose].map((inTurn) =>
      inTurn === end
        ? lose(end(placeAll(createGang()), 0, 'failed'), 1)
        : end(lose(placeAll(createGang()), 1), 0, 'failed'),
    );
    expect(countFailures(hearLateFailure(first!, 1, 1))).toBe(1);
    expect(countFailures(hearLateFailure(second!, 1, 1))).toBe(1);
  });

  // Guards against attempts that are lost or won, whatever ends come late or twice.
  it('fail the job with the last attempt, and not before', () => {
    fc.assert(
      fc.property(fc.array(gangRun, { minLength: 1, maxLength: 6 }), (runs) => {
        const failedRuns = new Set<number>();
        const awaited: { readonly member: number; readonly run: number; readonly atRun: number }[] =
          [];
        let row = createGang();
        runs.forEach(({ ends, order, isStoredBetween }, index) => {
          if (isFinished(row)) return;
          row = placeAll(row);
          const { run } = row.tasks[0]!;
          order.forEach((member) => {
            if (isFinished(row)) return;
            const { how, heardAfterRuns } = ends[member];
            if (how === 'lost') row = lose(row, member);
            else row = end(row, member, how);
            if (how === 'failed') failedRuns.add(run);
            if (how === 'lost' && heardAfterRuns !== undefined) {
              awaited.push({ member, run, atRun: index + heardAfterRuns });
            }
            if (isStoredBetween) row = store(row);
            expect(row.state === 'failed').toBe(failedRuns.size >= MAX_ATTEMPTS);
          });
          awaited
            .filter(({ atRun }) => atRun === index)
            .forEach((late) => {
              if (isFinished(row)) return;
              failedRuns.add(late.run);
              // Two homes hear of it, until one of them has acknowledged it.
              row = store(hearLateFailure(row, late.member, late.run));
              row = hearLateFailure(row, late.member, late.run);
              expect(row.state === 'failed').toBe(failedRuns.size >= MAX_ATTEMPTS);
            });
        });
        expect(countFailures(row)).toBe(failedRuns.size);
      }),
      { numRuns: Number(process.env.GANG_FAILURES ?? 1_000) },
    );
  });

  // Guards against attempts that are lost with an upgrade: an earlier version counted each member.
  it('are as many as those of one member where an earlier version has stored them', () => {
    const placed = placeAll(createGang());
    const { failedRuns, ...progress } = packProgress(placed);
    expect(failedRuns).toBeUndefined();
    const failures: [number, number][] = [
      [0, 1],
      [1, 2],
      [3, 1],
    ];
    const restored = restoreJobRow(placed.spec, { ...progress, failures });
    expect(countFailures(restored)).toBe(2);
    expect(end(restored, 2, 'failed').state).toBe('failed');
  });

  // Guards against attempts that are lost with a downgrade: an earlier version adds members up.
  it('are stored so that their sum is the number of failed runs', () => {
    const failed = MEMBERS.reduce(
      (row, member) => end(row, member, 'failed'),
      placeAll(createGang()),
    );
    expect(packProgress(failed).failures).toEqual([[0, 1]]);
  });
});
