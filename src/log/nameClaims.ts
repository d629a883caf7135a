import type { RecordBody } from '../records/index.js';
import type { FleetTables } from '../tables/index.js';

/**
 * Names in each settlement the claim that its writer sees, unless it names one already.
 *
 * The record may reach the log late, when the request has been claimed anew; with the name the
 * fold tells that the settlement is of the earlier claim.
 * @param tables - The state that the writer acts on.
 * @param body - Body of the record.
 * @returns The record, with the claims named where it settles some.
 */
export function nameClaims(tables: FleetTables, body: RecordBody): RecordBody {
  if (body.type !== 'requests-settled') return body;
  const settlements = body.settlements.map((settlement) => ({
    claimedOffset: tables.claims.get(settlement.requestId)?.claimedOffset,
    ...settlement,
  }));
  return { ...body, settlements };
}
