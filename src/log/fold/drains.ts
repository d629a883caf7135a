import type { RecordBodyOf } from '../../records/index.js';
import type { FleetTables, RecordVerdict } from '../../tables/index.js';
import { ACCEPTED, reject } from './verdicts.js';

/**
 * Applies an operator's order to drain a VM.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyVmDrainOrdered(
  tables: FleetTables,
  body: RecordBodyOf<'vm-drain-ordered'>,
): RecordVerdict {
  const { vm, author } = body;
  tables.drains.put({ vm, author });
  return ACCEPTED;
}

/**
 * Applies the cancellation of an operator's order to drain a VM.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyVmDrainCancelled(
  tables: FleetTables,
  body: RecordBodyOf<'vm-drain-cancelled'>,
): RecordVerdict {
  if (!tables.drains.remove(body.vm)) return reject(`VM ${body.vm} has no drain order.`);
  return ACCEPTED;
}
