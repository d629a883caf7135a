import type { PoolTables, WaveRow } from '../tables/index.js';
import { getWaveWidth } from './getWaveWidth.js';

/**
 * Computes how many steps of a wave may be in progress in a pool: one at first, and twice as many
 * each time they go well, so that a maintenance that breaks VMs shows on few of them.
 * @param tables - State of the pool.
 * @param wave - The wave.
 * @returns Steps at once, at most the width that the settings ask for.
 */
export function getMaxStepsInProgress(tables: PoolTables, wave: WaveRow): number {
  const maintainedCount = tables.waveSteps
    .list()
    .filter((step) => step.wave === wave.wave && step.state === 'maintained').length;
  return Math.min(maintainedCount + 1, getWaveWidth(tables));
}
