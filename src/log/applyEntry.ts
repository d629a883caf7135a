import { z } from 'zod';
import { throwError } from '../errors/index.js';
import type { LogEntry } from '../platform/index.js';
import type { LogRecord } from '../records/index.js';
import type { FleetTables, RecordVerdict } from '../tables/index.js';
import type { ApplyVerdict } from './ApplyVerdict.js';
import { type DecodedEntry, decodeEntry } from './decodeEntry.js';
import { applyBody } from './fold/applyBody.js';
import { recordPublication } from './fold/settings.js';
import { reject } from './fold/verdicts.js';

const MAX_VERDICT_COUNT = 20_000;
const EVERY_SUBTREE = '*';
const UNREADABLE_FIELD = '?';

const publicationSchema = z.object({
  body: z.object({
    type: z.literal('settings-published'),
    team: z.string().catch(UNREADABLE_FIELD),
    author: z.string().catch(UNREADABLE_FIELD),
  }),
});

/** Result of applying an entry, with the record that it holds. */
export interface AppliedEntry {
  readonly verdict: ApplyVerdict;
  /** Undefined if the entry is stale or holds no readable record. */
  readonly record: LogRecord | undefined;
}

/**
 * Applies a decoded record unless a record with its id has already been applied.
 *
 * An append whose response was lost is repeated with the same record id, so the log may contain
 * the record twice. The verdict on the first copy is kept, and the second copy changes nothing.
 * @param tables - Tables of the replicated state.
 * @param record - The record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
function applyRecord(tables: FleetTables, record: LogRecord, offset: number): ApplyVerdict {
  const known = tables.verdicts.get(record.recordId);
  if (known !== undefined) return { type: 'repeated', first: known.verdict };
  const verdict = applyBody(tables, record.body, offset);
  tables.verdicts.put({ recordId: record.recordId, offset, verdict });
  if (tables.verdicts.size > MAX_VERDICT_COUNT) tables.verdicts.removeOldest();
  return verdict;
}

/**
 * Rejects an entry that this program cannot read. An unreadable publication is added to the
 * publication history.
 * @param tables - Tables of the replicated state.
 * @param entry - The entry.
 * @param reason - Why it cannot be read.
 * @returns The verdict.
 */
function rejectUnreadable(tables: FleetTables, entry: LogEntry, reason: string): RecordVerdict {
  const publication = publicationSchema.safeParse(entry.payload);
  if (publication.success) {
    const { team, author } = publication.data.body;
    const { offset } = entry;
    recordPublication(tables, { offset, team, author, verdict: 'rejected', reason });
  }
  return reject(reason);
}

/**
 * Freezes the subtrees that a record of a newer format concerns, so that this program makes no
 * further decisions on them.
 *
 * During a rolling upgrade, upgraded instances act on records that older ones cannot read. An
 * older instance that continued would decide on a state that differs from the others' state.
 * @param tables - Tables of the replicated state.
 * @param decoded - Format version and teams of the record.
 * @param offset - Offset of the record.
 */
function freezeSubtrees(
  tables: FleetTables,
  decoded: Extract<DecodedEntry, { readonly type: 'newer' }>,
  offset: number,
): void {
  const { formatVersion, teams } = decoded;
  const subtrees = teams.length === 0 ? [EVERY_SUBTREE] : teams;
  subtrees
    .filter((subtree) => !tables.frozen.has(subtree))
    .forEach((subtree) => tables.frozen.put({ subtree, formatVersion, offset }));
}

/**
 * Applies an entry and returns the verdict together with the record.
 * @param tables - Tables of the replicated state.
 * @param entry - The entry at the next offset of the state, or an earlier one.
 * @returns The verdict and the record.
 * @throws RattanliftError Of kind `internal` when entries before this one are missing.
 */
export function applyEntryWithRecord(tables: FleetTables, entry: LogEntry): AppliedEntry {
  const { offset } = entry;
  if (offset < tables.nextOffset) return { verdict: { type: 'stale' }, record: undefined };
  if (offset > tables.nextOffset) {
    throwError('internal', `Entry ${offset} cannot be applied: the next is ${tables.nextOffset}.`);
  }
  Object.assign(tables, { nextOffset: offset + 1 });
  const decoded = decodeEntry(entry);
  if (decoded.type === 'record') {
    const { record } = decoded;
    return { verdict: applyRecord(tables, record, offset), record };
  }
  if (decoded.type === 'undecodable') {
    return { verdict: rejectUnreadable(tables, entry, decoded.reason), record: undefined };
  }
  freezeSubtrees(tables, decoded, offset);
  const reason = `formatVersion: ${decoded.formatVersion} is newer than this program.`;
  return { verdict: rejectUnreadable(tables, entry, reason), record: undefined };
}

/**
 * Applies an entry of the log to the state. The result depends only on the state and the entry, so
 * it is the same in every instance.
 * @param tables - Tables of the replicated state, modified in place.
 * @param entry - The entry at the next offset of the state, or an earlier one.
 * @returns Whether the record was accepted, and if not, why.
 * @throws RattanliftError Of kind `internal` when entries before this one are missing.
 */
export function applyEntry(tables: FleetTables, entry: LogEntry): ApplyVerdict {
  return applyEntryWithRecord(tables, entry).verdict;
}
