import { z } from 'zod';
import type { LogEntry } from '../platform/index.js';
import { type LogRecord, logRecordSchema, RECORD_FORMAT_VERSION } from '../records/index.js';

/** Result of decoding an entry of the log. */
export type DecodedEntry =
  | { readonly type: 'record'; readonly record: LogRecord }
  | { readonly type: 'newer'; readonly formatVersion: number; readonly teams: readonly string[] }
  | { readonly type: 'undecodable'; readonly reason: string };

const newerSchema = z.object({ formatVersion: z.int().gt(RECORD_FORMAT_VERSION) });
const teamSchema = z.object({ body: z.object({ team: z.string().min(1) }) });
const poolSchema = z.object({ body: z.object({ pool: z.string().includes('/') }) });
const poolsSchema = z.object({
  body: z.object({ pools: z.array(z.string().includes('/')).min(1) }),
});

/**
 * Returns the team of a pool.
 * @param pool - Pool as `team/pool`.
 * @returns The team.
 */
function teamOfPool(pool: string): string {
  return pool.slice(0, pool.indexOf('/'));
}

/**
 * Reads the teams that a record of a newer format concerns, if it still has the current fields.
 * @param payload - The record.
 * @returns The teams; empty if they cannot be read.
 */
function readTeams(payload: unknown): readonly string[] {
  const byTeam = teamSchema.safeParse(payload);
  if (byTeam.success) return [byTeam.data.body.team];
  const byPool = poolSchema.safeParse(payload);
  if (byPool.success) return [teamOfPool(byPool.data.body.pool)];
  const byPools = poolsSchema.safeParse(payload);
  return byPools.success ? byPools.data.body.pools.map(teamOfPool) : [];
}

/**
 * Decodes an entry of the log.
 * @param entry - The entry.
 * @returns The record, or why it cannot be read.
 */
export function decodeEntry(entry: LogEntry): DecodedEntry {
  const newer = newerSchema.safeParse(entry.payload);
  if (newer.success) {
    const { formatVersion } = newer.data;
    return { type: 'newer', formatVersion, teams: readTeams(entry.payload) };
  }
  const parsed = logRecordSchema.safeParse(entry.payload);
  if (parsed.success) return { type: 'record', record: parsed.data };
  const issue = parsed.error.issues[0]!;
  const place = issue.path.length === 0 ? 'record' : issue.path.join('.');
  return { type: 'undecodable', reason: `${place}: ${issue.message}` };
}
