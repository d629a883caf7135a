import type { RecordBodyOf } from '../../records/index.js';
import type { FleetTables, RecordVerdict } from '../../tables/index.js';
import { findHomeMismatch, isPoolInForce } from './homes.js';
import { ACCEPTED, reject } from './verdicts.js';
import { finishWavesOfPool } from './waveProgress.js';

/**
 * Applies the adoption of a VM by a pool.
 *
 * Two pools may try to adopt the same free VM concurrently. Both records carry the assignment
 * version that their writer read. The first record on the log changes the version and the second
 * is rejected, so a VM belongs to at most one pool.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyVmAdopted(
  tables: FleetTables,
  body: RecordBodyOf<'vm-adopted'>,
  offset: number,
): RecordVerdict {
  const { vm, pool, expectedVersion } = body;
  const fault = findHomeMismatch(tables, body);
  if (fault !== undefined) return reject(fault);
  if (!isPoolInForce(tables, pool)) return reject(`Pool ${pool} is in no settings in force.`);
  const row = tables.assignments.get(vm);
  const version = row?.version ?? 0;
  if (row?.pool !== undefined) return reject(`VM ${vm} belongs to pool ${row.pool}.`);
  if (version !== expectedVersion) {
    return reject(`VM ${vm} is at version ${version}, not at version ${expectedVersion}.`);
  }
  tables.assignments.put({ vm, pool, version: offset + 1 });
  return ACCEPTED;
}

/**
 * Applies the release of a VM by its pool.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applyVmReleased(
  tables: FleetTables,
  body: RecordBodyOf<'vm-released'>,
  offset: number,
): RecordVerdict {
  const { vm, pool, expectedVersion } = body;
  const fault = findHomeMismatch(tables, body);
  if (fault !== undefined) return reject(fault);
  const row = tables.assignments.get(vm);
  if (row?.pool !== pool) return reject(`VM ${vm} does not belong to pool ${pool}.`);
  if (row.version !== expectedVersion) {
    return reject(`VM ${vm} is at version ${row.version}, not at version ${expectedVersion}.`);
  }
  tables.assignments.put({ vm, pool: undefined, version: offset + 1 });
  finishWavesOfPool(tables, pool, offset);
  return ACCEPTED;
}
