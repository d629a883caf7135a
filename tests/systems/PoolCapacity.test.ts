import { afterEach, describe, expect, it, vi } from 'vitest';
import { createJobRow, placeTask } from '../../src/jobs/index.js';
import { type PlacementTarget, placeTasks, TargetCapacity } from '../../src/systems/index.js';
import { PoolCapacity } from '../../src/systems/PoolCapacity.js';
import { makeEntry, makeJob, makeStep } from '../taskHome/HomeWorld.js';

const CORE = 1_000;
const TARGET_CORES = 4;

function makeTarget(targetId: string, changes: Partial<PlacementTarget> = {}): PlacementTarget {
  return { ...makeEntry(targetId), takesTasks: true, ...changes };
}

function makeStepOf(cores: number) {
  const demand = { cpuMillicores: cores * CORE, memoryMb: 100, gpuCount: 0 };
  return makeStep({ demand });
}

describe('PoolCapacity', () => {
  afterEach(() => vi.restoreAllMocks());

  it('considers only the free CPU of targets that accept tasks', () => {
    const closed = new TargetCapacity(makeTarget('t1', { takesTasks: false }));
    const suspected = new TargetCapacity(makeTarget('t2', { holdsSuspect: true }));
    const open = new TargetCapacity(makeTarget('t3'));
    open.allocate('a.0.0', makeStepOf(3));
    const pool = new PoolCapacity([closed, suspected, open]);
    expect(pool.mayFit(makeStepOf(1))).toBe(true);
    expect(pool.mayFit(makeStepOf(2))).toBe(false);
  });

  it('recomputes the free CPU after an allocation', () => {
    const capacity = new TargetCapacity(makeTarget('t1'));
    const pool = new PoolCapacity([capacity]);
    expect(pool.mayFit(makeStepOf(4))).toBe(true);
    capacity.allocate('a.0.0', makeStepOf(3));
    pool.invalidateCache();
    expect(pool.mayFit(makeStepOf(4))).toBe(false);
  });

  it('accepts best-effort tasks in a full pool', () => {
    const capacity = new TargetCapacity(makeTarget('t1'));
    capacity.allocate('a.0.0', makeStepOf(TARGET_CORES));
    const bestEffort = makeStep({ isBestEffort: true });
    expect(new PoolCapacity([capacity]).mayFit(bestEffort)).toBe(true);
  });

  // Guards against placement rounds that become slower with each waiting job because they scan all
  // targets for each one.
  it('is not scanned for each waiting job while it is full', () => {
    const accepts = vi.spyOn(TargetCapacity.prototype, 'accepts');
    const filling = createJobRow(makeJob('full', [makeStepOf(TARGET_CORES)]));
    const full = placeTask(filling, 0, 't1');
    const waiting = Array.from({ length: 100 }, (_j, number) =>
      createJobRow(makeJob(`job${number}`, [makeStepOf(1)])),
    );
    const placements = placeTasks({
      jobs: waiting,
      allocatedJobs: [full, ...waiting],
      targets: [makeTarget('t1')],
      getFailedTargets: () => new Set(),
      nowMs: 0,
    });
    expect(placements).toEqual([]);
    expect(accepts).not.toHaveBeenCalled();
  });
});
