import type { RecordBody } from '../records/index.js';
import type { FleetTables } from '../tables/index.js';

/**
 * Adds to each settlement the offset of the claim that the writer sees, unless it has one.
 *
 * The record may reach the log late, after the request has been claimed again. The offset tells
 * the fold that the settlement belongs to the earlier claim.
 * @param tables - State that the writer acts on.
 * @param body - Body of the record.
 * @returns The body, with claim offsets added to its settlements if it has any.
 */
export function addClaimOffsets(tables: FleetTables, body: RecordBody): RecordBody {
  if (body.type !== 'requests-settled') return body;
  const settlements = body.settlements.map((settlement) => ({
    claimedOffset: tables.claims.get(settlement.requestId)?.claimedOffset,
    ...settlement,
  }));
  return { ...body, settlements };
}
