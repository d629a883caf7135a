import type { PoolTables, WaveRow } from '../tables/index.js';
import { getWaveConcurrency } from './getWaveConcurrency.js';

/**
 * Computes how many steps of a wave may be in progress in a pool: one at first, then twice as many
 * after each round that succeeds, so that faulty maintenance is noticed after it breaks few VMs.
 * @param tables - State of the pool.
 * @param wave - The wave.
 * @returns Steps at once, at most the concurrency that the settings give.
 */
export function getMaxStepsInProgress(tables: PoolTables, wave: WaveRow): number {
  const maintainedCount = tables.waveSteps
    .list()
    .filter((step) => step.wave === wave.wave && step.state === 'maintained').length;
  return Math.min(maintainedCount + 1, getWaveConcurrency(tables));
}
