import { describe, expect, it } from 'vitest';
import { checkBudget, planCapacity } from '../../src/systems/index.js';
import type { PoolTables, VmRow } from '../../src/tables/index.js';
import {
  changeVms,
  fillVm,
  makePool,
  makeSettings,
  makeVm,
  putSteps,
  startWave,
} from './fixtures.js';

const HOLD_MS = 600_000;

/** Makes unassigned VMs, four in each of the racks. */
function makeSpares(racks: readonly number[]): readonly VmRow[] {
  return racks.flatMap((rack) => [10, 11, 12, 13].map((index) => makeVm(rack, index)));
}

/** Plans and applies the decisions; returns each as `type vm`. */
function planAndApply(
  tables: PoolTables,
  nowMs: number,
  spares: readonly VmRow[],
): readonly string[] {
  const decisions = planCapacity(tables, { nowMs, unassignedVms: spares });
  decisions.forEach(({ type, vm }) => {
    if (type === 'release') tables.vms.remove(vm);
    else tables.vms.put({ ...spares.find((spare) => spare.vm === vm)!, condition: 'accepting' });
  });
  return decisions.map(({ type, vm }) => `${type} ${vm}`);
}

describe('planCapacity', () => {
  it('fills an empty pool with the fewest VMs, spread over racks', () => {
    const tables = makePool(0);
    const spares = makeSpares([0, 1, 2, 3, 4, 5]);
    // 11 VMs of 4 slots in 6 racks: the largest rack has two, and 9 x 4 = 36 would be too few.
    expect(planAndApply(tables, 0, spares).length).toBe(12);
    expect(checkBudget(tables, { nowMs: 0 })).toEqual({ type: 'within', spareSlotCount: 0 });
    expect(planAndApply(tables, 1, spares)).toEqual([]);
  });

  it('takes only VMs of its data centres that can carry one of its kinds', () => {
    const tables = makePool(0, makeSettings({ neededSlotCount: 4, dataCentres: ['dc-1'] }));
    const tooSmall = makeVm(4, 0, { memoryMb: 100 });
    const spares = [tooSmall, makeVm(0, 0), makeVm(1, 0), makeVm(7, 0)];
    expect(planAndApply(tables, 0, spares).toSorted()).toEqual([
      'adopt vm-01-00',
      'adopt vm-07-00',
    ]);
  });

  // Guards against a pool that stays outside its budget. Every rack holds one VM, and one more is
  // needed. Any single VM makes its rack the largest, so none gains anything alone; a pool that
  // rates VMs one by one would adopt none.
  it('adopts two VMs where one alone would gain nothing, and none where no number helps', () => {
    const settings = makeSettings({ neededSlotCount: 16 });
    const tables = makePool(0, settings);
    [0, 1, 2, 3, 4].forEach((rack) =>
      tables.vms.put({ ...makeVm(rack, 0), condition: 'accepting' }),
    );
    tables.settings = makeSettings({ neededSlotCount: 20 });
    expect(planAndApply(tables, 0, makeSpares([0]))).toEqual([]);
    expect(planAndApply(tables, 0, makeSpares([0, 1])).length).toBe(2);
    expect(checkBudget(tables, { nowMs: 0 })).toEqual({ type: 'within', spareSlotCount: 0 });
  });

  // Guards against needless moves: a rack's switch restarts, and its VMs are unreachable for two
  // seconds. VMs would change pools twice for nothing. A VM that stays away longer is replaced.
  it('waits for a VM that is lost for a moment, and replaces it when it stays away', () => {
    const tables = makePool(4, makeSettings({ neededSlotCount: 48 }));
    const spares = makeSpares([9]);
    changeVms(tables, ['vm-00-00'], { condition: 'unreachable' });
    expect(planAndApply(tables, 1_000, spares)).toEqual([]);
    expect(planAndApply(tables, 7_000, spares).length).toBe(1);
  });

  // Guards against flapping: the needed slots swing every few minutes, and each swing would move
  // VMs out and back in. Since the surplus is held for a while, only the first rise moves VMs.
  it('does not flap when the demand swings', () => {
    const tables = makePool(4, makeSettings({ neededSlotCount: 48 }));
    const spares = makeSpares([8, 9]);
    const moves = Array.from({ length: 20 }, (ignored, swing) => {
      tables.settings = makeSettings({ neededSlotCount: swing % 2 === 0 ? 56 : 48 });
      return planAndApply(tables, swing * 240_000, spares);
    });
    expect(moves.flat().length).toBe(2);
  });

  it('releases a lasting surplus, never a VM with grants, and keeps the budget', () => {
    const tables = makePool(5, makeSettings({ neededSlotCount: 48 }));
    fillVm(tables, 'vm-00-00', 1);
    expect(planAndApply(tables, 0, [])).toEqual([]);
    const released = planAndApply(tables, HOLD_MS, []);
    expect(released.length).toBe(4);
    expect(released).not.toContain('release vm-00-00');
    expect(checkBudget(tables, { nowMs: HOLD_MS })).toEqual({ type: 'within', spareSlotCount: 0 });
    expect(planAndApply(tables, 2 * HOLD_MS, [])).toEqual([]);
  });

  // Guards against a wave that waits for ever: a pool with exactly its needed slots starts a wave.
  // Without a spare VM no step would be allowed, and the wave would still wait in the morning.
  it('borrows a VM for a wave, moves none during it, and returns one afterwards', () => {
    const settings = makeSettings({ neededSlotCount: 48, maintenance: { rollOutWeight: 0 } });
    const tables = makePool(4, settings);
    const spares = makeSpares([9]);
    startWave(tables);
    expect(planAndApply(tables, 0, spares)).toEqual([expect.stringMatching(/^adopt vm-09/)]);
    putSteps(tables, ['vm-00-00'], 'intended');
    changeVms(tables, ['vm-00-00'], { condition: 'draining' });
    expect(planAndApply(tables, HOLD_MS, spares)).toEqual([]);
    expect(checkBudget(tables, { nowMs: HOLD_MS }).type).toBe('within');
    tables.waves.clear();
    tables.waveSteps.clear();
    changeVms(tables, ['vm-00-00'], { condition: 'accepting' });
    expect(planAndApply(tables, 2 * HOLD_MS, spares)).toEqual([]);
    expect(planAndApply(tables, 3 * HOLD_MS, spares).length).toBe(1);
  });

  it('gives up VMs that are gone for good', () => {
    const tables = makePool(5, makeSettings({ neededSlotCount: 60 }));
    changeVms(tables, ['vm-02-02'], { state: 'gone', condition: 'absent' });
    expect(planAndApply(tables, 0, [])).toEqual([]);
    expect(planAndApply(tables, HOLD_MS, [])).toEqual(['release vm-02-02']);
  });
});
