import type { FleetTables, WaveRow } from '../../tables/index.js';

const MAX_FINISHED_WAVE_COUNT = 50;

/**
 * Checks whether a wave is finished.
 * @param wave - The wave.
 * @returns Whether there was a time at which every VM of its pools was done.
 */
export function isWaveFinished(wave: WaveRow): boolean {
  return wave.finishedOffset !== undefined;
}

/**
 * Checks whether every VM in the pools of a wave has a step in a final state.
 * @param tables - Tables of the replicated state.
 * @param wave - The wave.
 * @returns Whether no VM is left to maintain.
 */
function isEveryVmDone(tables: FleetTables, wave: WaveRow): boolean {
  return tables.assignments
    .list()
    .filter((row) => row.pool !== undefined && wave.pools.includes(row.pool))
    .every((row) => {
      const state = tables.waveSteps.get(`${wave.wave}/${row.vm}`)?.state;
      return state === 'maintained' || state === 'failed';
    });
}

/**
 * Removes the wave that finished first and its steps if too many finished waves are kept.
 * @param tables - Tables of the replicated state.
 */
function removeOldestFinishedWave(tables: FleetTables): void {
  const finished = tables.waves.list().filter(isWaveFinished);
  if (finished.length <= MAX_FINISHED_WAVE_COUNT) return;
  const oldest = finished.reduce((first, wave) =>
    wave.finishedOffset! < first.finishedOffset! ? wave : first,
  );
  tables.waves.remove(oldest.wave);
  tables.waveSteps
    .list()
    .filter((step) => step.wave === oldest.wave)
    .forEach((step) => tables.waveSteps.remove(`${step.wave}/${step.vm}`));
}

/**
 * Marks a wave as finished when all its VMs are done. The wave stays finished when VMs join its
 * pools later.
 * @param tables - Tables of the replicated state.
 * @param wave - The wave.
 * @param offset - Offset of the record that may have finished it.
 */
export function finishWaveIfDone(tables: FleetTables, wave: WaveRow, offset: number): void {
  if (isWaveFinished(wave) || !isEveryVmDone(tables, wave)) return;
  tables.waves.put({ ...wave, finishedOffset: offset });
  removeOldestFinishedWave(tables);
}

/**
 * Marks each wave that includes a pool as finished if all VMs of the wave are done.
 * @param tables - Tables of the replicated state.
 * @param pool - Pool as `team/pool`.
 * @param offset - Offset of the record that may have finished them.
 */
export function finishWavesOfPool(tables: FleetTables, pool: string, offset: number): void {
  tables.waves
    .list()
    .filter((wave) => wave.pools.includes(pool))
    .forEach((wave) => finishWaveIfDone(tables, wave, offset));
}
