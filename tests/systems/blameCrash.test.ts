import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { blameCrash as blame, type CrashBlame, type CrashedRun } from '../../src/systems/index.js';

let jobCount = 0;

/** Creates a run of a separate job. */
function makeRun(changes: Partial<CrashedRun> = {}): CrashedRun {
  jobCount += 1;
  const jobId = `job-${jobCount}`;
  return { jobId, crashCount: 0, isLongRunning: false, isSent: true, survivedMs: 0, ...changes };
}

function blameCrash(runs: readonly CrashedRun[]): readonly CrashBlame[] {
  return blame(runs, 'strong');
}

describe('blameCrash', () => {
  it('suspects the runs that had just begun, and gives none of them up at their first crash', () => {
    const blames = blameCrash([makeRun(), makeRun({ survivedMs: 20 })]);
    expect(blames).toEqual([
      { crashCount: 1, isToBlame: false },
      { crashCount: 1, isToBlame: false },
    ]);
  });

  it('blames the task that was under suspicion before and had begun alone', () => {
    const proven = makeRun({ survivedMs: 900, isLongRunning: true });
    const blames = blameCrash([proven, makeRun({ crashCount: 1 })]);
    expect(blames).toEqual([
      { crashCount: 0, isToBlame: false },
      { crashCount: 2, isToBlame: true },
    ]);
  });

  // Guards against giving up an innocent task because of another one that started at the same time.
  it('blames no task for a second crash where another one had just begun too', () => {
    const blames = blameCrash([makeRun({ crashCount: 1 }), makeRun()]);
    expect(blames.map(({ isToBlame }) => isToBlame)).toEqual([false, false]);
  });

  it('blames a job of which several tasks had begun alone', () => {
    const blames = blameCrash([makeRun({ jobId: 'a', crashCount: 1 }), makeRun({ jobId: 'a' })]);
    expect(blames.map(({ isToBlame }) => isToBlame)).toEqual([true, false]);
  });

  it('does not suspect a run whose start was not sent', () => {
    const blames = blameCrash([makeRun({ isSent: false, crashCount: 1 })]);
    expect(blames).toEqual([{ crashCount: 1, isToBlame: false }]);
  });

  // Guards against giving up a long-running task because of short tasks that start on its targets.
  it('does not count the crashes of others for a long-running task that has been at work', () => {
    const lasting = makeRun({ isLongRunning: true, survivedMs: 5_000, crashCount: 3 });
    expect(blameCrash([lasting, makeRun()])[0]).toEqual({ crashCount: 3, isToBlame: false });
  });

  it('forgets earlier crashes of a task that has worked for long', () => {
    const lasting = makeRun({ isLongRunning: true, survivedMs: 60_000, crashCount: 3 });
    expect(blameCrash([lasting])).toEqual([{ crashCount: 0, isToBlame: false }]);
  });

  // Guards against giving up an innocent task because of a faulty target or a lost rack.
  it('counts a weak crash for what had just begun, and blames nobody for the second one', () => {
    const proven = makeRun({ survivedMs: 900 });
    expect(blame([proven, makeRun({ crashCount: 1 })], 'weak')).toEqual([
      { crashCount: 0, isToBlame: false },
      { crashCount: 2, isToBlame: false },
    ]);
    expect(blame([makeRun({ crashCount: 3 })], 'weak')[0]!.isToBlame).toBe(true);
  });

  // Guards against unlimited restarts of a task that crashes its targets only some time after
  // start.
  it('blames the worst task for the fourth crash though it was never alone', () => {
    const late = makeRun({ crashCount: 3, survivedMs: 900 });
    const blames = blameCrash([late, makeRun({ crashCount: 1 }), makeRun()]);
    expect(blames.map(({ isToBlame }) => isToBlame)).toEqual([true, false, false]);
  });

  // Guards against a sixth start: regardless of the other runs on its targets, a task that crashes
  // them is given up by the fifth crash.
  it('blames a task that crashes each of its targets after four crashes at most', () => {
    const neighbour = fc.record({
      jobId: fc.constantFrom('a', 'b'),
      crashCount: fc.integer({ min: 0, max: 1 }),
      isLongRunning: fc.boolean(),
      isSent: fc.boolean(),
      survivedMs: fc.integer({ min: 0, max: 20_000 }),
    });
    const crash = fc.record({
      neighbours: fc.array(neighbour, { maxLength: 6 }),
      survivedMs: fc.integer({ min: 0, max: 1_000 }),
    });
    fc.assert(
      fc.property(fc.array(crash, { minLength: 4, maxLength: 4 }), (crashes) => {
        let culprit = makeRun();
        const wasBlamed = crashes.some(({ neighbours, survivedMs }) => {
          const [ofCulprit] = blameCrash([{ ...culprit, survivedMs }, ...neighbours]);
          culprit = { ...culprit, crashCount: ofCulprit!.crashCount };
          return ofCulprit!.isToBlame;
        });
        expect(wasBlamed).toBe(true);
      }),
    );
  });
});
