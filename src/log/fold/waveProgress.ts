import type { FleetTables, WaveRow } from '../../tables/index.js';

const MAX_FINISHED_WAVE_COUNT = 50;

/**
 * Tells whether a wave has nothing left to do.
 * @param wave - The wave.
 * @returns Whether every VM of its pools was done at some moment.
 */
export function isWaveFinished(wave: WaveRow): boolean {
  return wave.finishedOffset !== undefined;
}

/**
 * Tells whether every VM of a wave's pools has a step in a final state.
 * @param tables - The state.
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
 * Removes the wave that finished first, with its steps, beyond a count of finished ones.
 * @param tables - The state.
 */
function forgetOldWaves(tables: FleetTables): void {
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
 * Marks a wave as finished when its last VM is done; it stays so when VMs join its pools later.
 * @param tables - The state.
 * @param wave - The wave.
 * @param offset - Offset of the record that may have finished it.
 */
export function finishWaveIfDone(tables: FleetTables, wave: WaveRow, offset: number): void {
  if (isWaveFinished(wave) || !isEveryVmDone(tables, wave)) return;
  tables.waves.put({ ...wave, finishedOffset: offset });
  forgetOldWaves(tables);
}

/**
 * Marks the waves over a pool as finished where the pool's last VM is done.
 * @param tables - The state.
 * @param pool - Pool as `team/pool`.
 * @param offset - Offset of the record that may have finished them.
 */
export function finishWavesOf(tables: FleetTables, pool: string, offset: number): void {
  tables.waves
    .list()
    .filter((wave) => wave.pools.includes(pool))
    .forEach((wave) => finishWaveIfDone(tables, wave, offset));
}
