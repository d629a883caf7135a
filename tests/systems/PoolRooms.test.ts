import { afterEach, describe, expect, it, vi } from 'vitest';
import { createJobRow, placeTask } from '../../src/jobs/index.js';
import { type PlacementTarget, placeTasks, TargetRoom } from '../../src/systems/index.js';
import { PoolRooms } from '../../src/systems/PoolRooms.js';
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

describe('PoolRooms', () => {
  afterEach(() => vi.restoreAllMocks());

  it('counts the processor that is free in open rooms alone', () => {
    const closed = new TargetRoom(makeTarget('t1', { takesTasks: false }));
    const suspected = new TargetRoom(makeTarget('t2', { holdsSuspect: true }));
    const open = new TargetRoom(makeTarget('t3'));
    open.take('a.0.0', makeStepOf(3));
    const pool = new PoolRooms([closed, suspected, open]);
    expect(pool.mayTake(makeStepOf(1))).toBe(true);
    expect(pool.mayTake(makeStepOf(2))).toBe(false);
  });

  it('recomputes the free CPU after an allocation', () => {
    const room = new TargetRoom(makeTarget('t1'));
    const pool = new PoolRooms([room]);
    expect(pool.mayTake(makeStepOf(4))).toBe(true);
    room.take('a.0.0', makeStepOf(3));
    pool.noteTaken();
    expect(pool.mayTake(makeStepOf(4))).toBe(false);
  });

  it('takes tasks without processor of their own into a full pool', () => {
    const room = new TargetRoom(makeTarget('t1'));
    room.take('a.0.0', makeStepOf(TARGET_CORES));
    const bestEffort = makeStep({ isBestEffort: true });
    expect(new PoolRooms([room]).mayTake(bestEffort)).toBe(true);
  });

  // Guards against placement rounds that become slower with each waiting job because they scan all
  // targets for each one.
  it('is not scanned for each waiting job while it is full', () => {
    const accepts = vi.spyOn(TargetRoom.prototype, 'accepts');
    const filling = createJobRow(makeJob('full', [makeStepOf(TARGET_CORES)]));
    const full = placeTask(filling, 0, 't1');
    const waiting = Array.from({ length: 100 }, (_j, number) =>
      createJobRow(makeJob(`job${number}`, [makeStepOf(1)])),
    );
    const placements = placeTasks({
      jobs: waiting,
      occupants: [full, ...waiting],
      targets: [makeTarget('t1')],
      failedOn: () => new Set(),
      nowMs: 0,
    });
    expect(placements).toEqual([]);
    expect(accepts).not.toHaveBeenCalled();
  });
});
