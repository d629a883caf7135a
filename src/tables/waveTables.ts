import type { WaveRow, WaveStepRow } from './entities.js';
import { Table } from './Table.js';

/**
 * Creates an empty table of waves.
 * @returns The table, keyed by wave.
 */
export function createWaveTable(): Table<string, WaveRow> {
  return new Table({ entity: 'wave', missingKind: 'unknown-wave', keyOf: (row) => row.wave });
}

/**
 * Creates an empty table of steps within waves.
 * @returns The table, keyed by wave and VM.
 */
export function createWaveStepTable(): Table<string, WaveStepRow> {
  return new Table({
    entity: 'wave step',
    missingKind: 'unknown-wave',
    keyOf: (row) => `${row.wave}/${row.vm}`,
  });
}
