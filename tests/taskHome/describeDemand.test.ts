import { describe, expect, it } from 'vitest';
import { createJobRow, placeTask } from '../../src/jobs/index.js';
import { ALL_MECHANISMS, type PoolDemand, RunTimes } from '../../src/systems/index.js';
import { describeDemand } from '../../src/taskHome/describeDemand.js';
import { makeEntry, makeJob, makeStep } from './HomeWorld.js';

const TARGET_IDS = ['t1', 't2'];

/** Describes a pool of a service with one task a target, of which the second one waits. */
function describePool(takers: readonly string[]): PoolDemand {
  const step = makeStep({ taskCount: 2, isLongRunning: true, maxTasksPerTarget: 1 });
  const targets = TARGET_IDS.map((targetId) => ({
    ...makeEntry(targetId),
    takesTasks: takers.includes(targetId),
  }));
  return describeDemand({
    pool: 'pages',
    rows: [placeTask(createJobRow(makeJob('service', [step])), 0, 't1')],
    targets,
    countRuns: () => 0,
    runTimes: new RunTimes(),
    arrivingCpuMillicores: 0,
    mechanisms: ALL_MECHANISMS,
    nowMs: Date.now(),
  });
}

describe('describeDemand', () => {
  it('asks for no VM for a task that a target may take', () => {
    const { wholeVmCount, targets } = describePool(TARGET_IDS);
    expect(wholeVmCount).toBe(0);
    expect(targets.map(({ takesTasks }) => takesTasks)).toEqual([undefined, undefined]);
  });

  // Guards against a service task that stays down: the one VM without its step is silent or leaves.
  it('asks for a VM for a task that only fits on a target that takes none', () => {
    const { wholeVmCount, targets } = describePool(['t1']);
    expect(wholeVmCount).toBe(1);
    expect(targets.map(({ takesTasks }) => takesTasks)).toEqual([undefined, false]);
  });

  // Guards against VMs that are ordered by the dozen by a home that is cut off from its targets.
  it('draws no conclusion from targets that take no tasks if none takes any', () => {
    expect(describePool([])).toEqual(describePool(TARGET_IDS));
  });
});
