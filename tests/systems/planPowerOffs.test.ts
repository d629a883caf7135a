import { describe, expect, it } from 'vitest';
import {
  planPowerOffs,
  type PlanPowerOffsInput,
  type PoolDemand,
} from '../../src/systems/index.js';
import type { FleetVm } from '../../src/vms/index.js';
import { makeDemand } from '../fleetHome/OrderWorld.js';

const VMS: readonly FleetVm[] = ['p1', 'p2', 'p3', 'p4', 's1', 's2'].map((vm) => ({
  vm,
  pool: vm.startsWith('p') ? 'pages' : 'search',
  state: 'up',
  targetId: `t-${vm}`,
}));

function demandOf(pool: string, busy: readonly string[] = []): PoolDemand {
  const targetIds = VMS.filter((vm) => vm.pool === pool).map(({ targetId }) => targetId!);
  const demand = makeDemand(pool, 0, targetIds);
  const targets = demand.targets.map((load) => ({
    ...load,
    runCount: busy.includes(load.targetId) ? 1 : 0,
  }));
  return { ...demand, targets };
}

function plan(changes: Partial<PlanPowerOffsInput> = {}): readonly string[] {
  const input: PlanPowerOffsInput = {
    demands: [demandOf('pages'), demandOf('search')],
    vms: VMS,
    standbyPools: new Set(['spares']),
    heldVms: new Set(),
    arrivingByPool: new Map(),
    retainedCounts: new Map([
      ['pages', 1],
      ['search', 1],
    ]),
    neededVmCount: 3,
    ...changes,
  };
  return planPowerOffs(input).map(({ vm, fromPool, toPool }) => `${vm}: ${fromPool} > ${toPool}`);
}

describe('planPowerOffs', () => {
  it('powers off what exceeds the need of the fleet', () => {
    expect(plan()).toEqual(['p1: pages > spares', 'p2: pages > spares', 'p3: pages > spares']);
  });

  // Failure: a pool has no VM for the first tasks of its next rush.
  it('leaves each pool its need and its reserve', () => {
    const retainedCounts = new Map([
      ['pages', 3],
      ['search', 2],
    ]);
    expect(plan({ retainedCounts })).toEqual(['p1: pages > spares']);
  });

  // Failure: a VM is emptied, or its tasks end, to save the cost of a VM.
  it('takes idle VMs alone, and none that is held', () => {
    const demands = [demandOf('pages', ['t-p1', 't-p2']), demandOf('search')];
    expect(plan({ demands, heldVms: new Set(['p3', 's1']), neededVmCount: 0 })).toEqual([
      'p4: pages > spares',
    ]);
  });

  it('counts VMs on their way to a pool, and not those on their way off', () => {
    expect(plan({ arrivingByPool: new Map([['search', 2]]), neededVmCount: 7 })).toHaveLength(1);
    expect(plan({ arrivingByPool: new Map([['spares', 2]]), neededVmCount: 6 })).toEqual([]);
  });

  it('does nothing where there is no pool of powered-off VMs', () => {
    expect(plan({ standbyPools: new Set() })).toEqual([]);
  });
});
