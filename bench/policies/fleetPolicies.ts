import { planCapacity, planWaveSteps, type WaveDecision } from '../../src/systems/index.js';
import type { PoolTables } from '../../src/tables/index.js';
import type { FleetPolicy } from './FleetPolicy.js';

/** Time at which a surplus must have begun to be released at once. */
const LONG_AGO_MS = -1e9;

/**
 * The systems of the product.
 * @param rollOutWeight - Weight that replaces the one in the settings.
 * @returns The policy.
 */
export function makeOurs(rollOutWeight?: number): FleetPolicy {
  const name = rollOutWeight === undefined ? 'rattanlift' : `rattanlift, weight ${rollOutWeight}`;
  return { name, rollOutWeight, planSteps: planWaveSteps, planMoves: planCapacity };
}

/** Lists VMs of a pool that a wave has not touched, in the order of their names. */
function listNextVms(tables: PoolTables, wave: string, count: number): readonly string[] {
  return tables.vms
    .list()
    .map(({ vm }) => vm)
    .filter((vm) => !tables.waveSteps.has(`${wave}/${vm}`))
    .sort()
    .slice(0, count);
}

/**
 * A fixed batch: it begins when the one before is through, and looks at no budget.
 * @param name - Name of the policy.
 * @param countOf - VMs in a batch, by VMs of the pool.
 * @returns The policy.
 */
export function makeBatches(name: string, countOf: (vmCount: number) => number): FleetPolicy {
  return {
    name,
    planSteps: (tables) =>
      tables.waves.list().flatMap(({ wave }): readonly WaveDecision[] => {
        const busy = tables.waveSteps.list().some(({ state }) => state === 'intended');
        if (busy) return [];
        return listNextVms(tables, wave, countOf(tables.vms.size)).map((vm) => ({
          type: 'start-step',
          wave,
          vm,
          reason: name,
        }));
      }),
    planMoves: () => [],
  };
}

/** Moves VMs as soon as demand changes, in either direction. */
export const MOVE_AT_ONCE: FleetPolicy = {
  name: 'move at once',
  planSteps: planWaveSteps,
  planMoves: (tables, options) => {
    tables.noteSurplus(LONG_AGO_MS);
    return planCapacity(tables, options);
  },
};
