import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  attributeCrash as attribute,
  type CrashAttribution,
  type CrashedRun,
} from '../../src/systems/index.js';

let jobCount = 0;

/** Creates a run of a separate job. */
function makeRun(changes: Partial<CrashedRun> = {}): CrashedRun {
  jobCount += 1;
  const jobId = `job-${jobCount}`;
  return { jobId, crashCount: 0, isLongRunning: false, isSent: true, survivedMs: 0, ...changes };
}

function attributeStrongCrash(runs: readonly CrashedRun[]): readonly CrashAttribution[] {
  return attribute(runs, 'strong');
}

describe('attributeCrash', () => {
  it('suspects the runs that had just begun, and gives none of them up at their first crash', () => {
    const blames = attributeStrongCrash([makeRun(), makeRun({ survivedMs: 20 })]);
    expect(blames).toEqual([
      { crashCount: 1, isCause: false },
      { crashCount: 1, isCause: false },
    ]);
  });

  it('blames the task that was under suspicion before and had begun alone', () => {
    const proven = makeRun({ survivedMs: 900, isLongRunning: true });
    const blames = attributeStrongCrash([proven, makeRun({ crashCount: 1 })]);
    expect(blames).toEqual([
      { crashCount: 0, isCause: false },
      { crashCount: 2, isCause: true },
    ]);
  });

  // Guards against giving up an innocent task because of another one that started at the same time.
  it('blames no task for a second crash where another one had just begun too', () => {
    const blames = attributeStrongCrash([makeRun({ crashCount: 1 }), makeRun()]);
    expect(blames.map(({ isCause }) => isCause)).toEqual([false, false]);
  });

  it('blames a job of which several tasks had begun alone', () => {
    const blames = attributeStrongCrash([
      makeRun({ jobId: 'a', crashCount: 1 }),
      makeRun({ jobId: 'a' }),
    ]);
    expect(blames.map(({ isCause }) => isCause)).toEqual([true, false]);
  });

  it('does not suspect a run whose start was not sent', () => {
    const blames = attributeStrongCrash([makeRun({ isSent: false, crashCount: 1 })]);
    expect(blames).toEqual([{ crashCount: 1, isCause: false }]);
  });

  // Guards against giving up a long-running task because of short tasks that start on its targets.
  it('does not count the crashes of others for a long-running task that has been at work', () => {
    const lasting = makeRun({ isLongRunning: true, survivedMs: 5_000, crashCount: 3 });
    expect(attributeStrongCrash([lasting, makeRun()])[0]).toEqual({
      crashCount: 3,
      isCause: false,
    });
  });

  it('forgets earlier crashes of a task that has worked for long', () => {
    const lasting = makeRun({ isLongRunning: true, survivedMs: 60_000, crashCount: 3 });
    expect(attributeStrongCrash([lasting])).toEqual([{ crashCount: 0, isCause: false }]);
  });

  // Guards against giving up an innocent task because of a faulty target or a lost rack.
  it('counts a weak crash for what had just begun, and blames nobody for the second one', () => {
    const proven = makeRun({ survivedMs: 900 });
    expect(attribute([proven, makeRun({ crashCount: 1 })], 'weak')).toEqual([
      { crashCount: 0, isCause: false },
      { crashCount: 2, isCause: false },
    ]);
    expect(attribute([makeRun({ crashCount: 3 })], 'weak')[0]!.isCause).toBe(true);
  });

  // Guards against unlimited restarts of a task that crashes its targets only some time after
  // start.
  it('blames the worst task for the fourth crash though it was never alone', () => {
    const late = makeRun({ crashCount: 3, survivedMs: 900 });
    const blames = attributeStrongCrash([late, makeRun({ crashCount: 1 }), makeRun()]);
    expect(blames.map(({ isCause }) => isCause)).toEqual([true, false, false]);
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
          const [ofCulprit] = attributeStrongCrash([{ ...culprit, survivedMs }, ...neighbours]);
          culprit = { ...culprit, crashCount: ofCulprit!.crashCount };
          return ofCulprit!.isCause;
        });
        expect(wasBlamed).toBe(true);
      }),
    );
  });
});
