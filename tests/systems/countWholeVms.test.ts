import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow, placeTask } from '../../src/jobs/index.js';
import { countWholeVms, RunTimes } from '../../src/systems/index.js';
import { makeEntry, makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NEARLY_WHOLE = { cpuMillicores: 3_500, memoryMb: 100, gpuCount: 0 };
const TARGETS = ['t1', 't2'].map((targetId) => ({ ...makeEntry(targetId), takesTasks: true }));

/** Creates a service with one task on each target. */
function makeService(): DurableJobRow {
  const row = createJobRow(makeJob('service', [makeStep({ taskCount: 2, isLongRunning: true })]));
  return placeTask(placeTask(row, 0, 't1'), 1, 't2');
}

function makeWide(changes: Parameters<typeof makeStep>[0] = {}): DurableJobRow {
  const step = makeStep({ demand: NEARLY_WHOLE, estimatedRunMs: 1_000, ...changes });
  return createJobRow(makeJob('wide', [step]));
}

function count(rows: readonly DurableJobRow[], nowMs = 0): number {
  return countWholeVms({ rows, targets: TARGETS, runTimes: new RunTimes(), nowMs });
}

describe('countWholeVms', () => {
  // Guards against a task that waits forever because each target runs a long-running task.
  it('counts the VMs that catch up with tasks that fit beside no long-running one', () => {
    expect(count([makeService(), makeWide()])).toBe(1);
    expect(count([makeService(), makeWide({ taskCount: 5 })])).toBe(3);
  });

  it('counts fewer where the job is too late already', () => {
    const isLateMs = Date.now() + 60_000;
    expect(count([makeService(), makeWide({ taskCount: 5 })], isLateMs)).toBe(1);
  });

  it('counts none for tasks that only wait for others to end', () => {
    const busy = placeTask(createJobRow(makeJob('busy', [makeStep()])), 0, 't1');
    expect(count([busy, makeWide()])).toBe(0);
  });

  it('counts none for tasks that another VM may not help', () => {
    const tooLarge = { ...NEARLY_WHOLE, cpuMillicores: 5_000 };
    expect(count([makeService(), makeWide({ demand: tooLarge })])).toBe(0);
    expect(count([makeService(), makeWide({ requiredLabel: 'a' })])).toBe(0);
  });

  // Guards against a service task that stays down: the one VM without its step is silent or leaves.
  it('counts a VM for a task that only fits on a target that takes none', () => {
    const step = makeStep({ taskCount: 2, isLongRunning: true, maxTasksPerTarget: 1 });
    const row = placeTask(createJobRow(makeJob('service', [step])), 0, 't1');
    const targets = TARGETS.map((target) => ({ ...target, takesTasks: target.targetId === 't1' }));
    const demand = { rows: [row], targets, runTimes: new RunTimes(), nowMs: 0 };
    expect(countWholeVms(demand)).toBe(1);
  });
});
