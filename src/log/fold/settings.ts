import type { RecordBodyOf } from '../../records/index.js';
import type { TeamSettings } from '../../settings/index.js';
import type {
  FleetTables,
  PublicationRow,
  RecordVerdict,
  SettingsRow,
} from '../../tables/index.js';
import { retireAbandonedHome } from './homes.js';
import { parseDocument } from './parseDocument.js';
import { ACCEPTED, reject } from './verdicts.js';

const MAX_PUBLICATION_COUNT = 1_000;

/**
 * Lists the pools of a team.
 * @param settings - The team's settings.
 * @returns The pools, each as `team/pool`.
 */
function poolsOf(settings: TeamSettings): readonly string[] {
  return Object.keys(settings.pools).map((pool) => `${settings.team}/${pool}`);
}

/**
 * Keeps a publication for the history that operators see.
 * @param tables - The state.
 * @param row - The publication with its verdict.
 */
export function recordPublication(tables: FleetTables, row: PublicationRow): void {
  tables.publications.put(row);
  if (tables.publications.size > MAX_PUBLICATION_COUNT) tables.publications.removeOldest();
}

/**
 * Puts settings in force and gives each new pool a home that nobody holds yet.
 * @param tables - The state.
 * @param row - The settings.
 */
function putInForce(tables: FleetTables, row: SettingsRow): void {
  const former = tables.settings.get(row.team);
  tables.settings.put(row);
  poolsOf(row.settings)
    .filter((pool) => !tables.homes.has(pool))
    .forEach((pool) => {
      const term = tables.retiredHomes.get(pool)?.term ?? 0;
      tables.retiredHomes.remove(pool);
      tables.homes.put({ pool, instance: undefined, term });
    });
  if (former === undefined) return;
  poolsOf(former.settings).forEach((pool) => retireAbandonedHome(tables, pool));
}

/**
 * Decides on a publication and puts it in force where it applies.
 * @param tables - The state.
 * @param body - The record.
 * @param offset - Its offset.
 * @returns The verdict.
 */
function decide(
  tables: FleetTables,
  body: RecordBodyOf<'settings-published'>,
  offset: number,
): RecordVerdict {
  const former = tables.settings.get(body.team);
  const version = former?.version ?? 0;
  // Two operators publish at once: whoever comes second on the log saw a version that is no
  // longer in force. The version travels in the record, so the second one cannot undo the first.
  if (body.baseVersion !== version) {
    const inForce =
      former === undefined
        ? 'no version is in force'
        : `version ${version} by ${former.author} is in force`;
    return reject(`The publication starts from version ${body.baseVersion}, but ${inForce}.`);
  }
  const parsed = parseDocument(body.document);
  if (parsed.type === 'invalid') return reject(`The document is invalid: ${parsed.reason}.`);
  const { settings } = parsed;
  if (settings.team !== body.team) {
    return reject(`The document is of team ${settings.team}, the record of team ${body.team}.`);
  }
  const { team, document, author } = body;
  putInForce(tables, { team, version: offset + 1, settings, document, author });
  return ACCEPTED;
}

/**
 * Applies a publication of a team's settings.
 * @param tables - The state.
 * @param body - The record.
 * @param offset - Its offset.
 * @returns The verdict.
 */
export function applySettingsPublished(
  tables: FleetTables,
  body: RecordBodyOf<'settings-published'>,
  offset: number,
): RecordVerdict {
  const verdict = decide(tables, body, offset);
  const { team, author } = body;
  const reason = verdict.type === 'rejected' ? verdict.reason : '';
  recordPublication(tables, { offset, team, author, verdict: verdict.type, reason });
  return verdict;
}
