import type { RecordBodyOf } from '../../records/index.js';
import {
  checkTeamSettings,
  formatProblem,
  type SettingsProblem,
  type TeamSettings,
} from '../../settings/index.js';
import type {
  FleetTables,
  PublicationRow,
  RecordVerdict,
  SettingsRow,
} from '../../tables/index.js';
import { retireAbandonedHome } from './homes.js';
import { isTooDeep } from './isTooDeep.js';
import { ACCEPTED, reject } from './verdicts.js';

const MAX_PUBLICATION_COUNT = 1_000;
const MAX_DOCUMENT_CHARACTER_COUNT = 500_000;
const MAX_SHOWN_PROBLEM_COUNT = 5;

/**
 * Lists the pools of a team.
 * @param settings - The team's settings.
 * @returns The pools, each as `team/pool`.
 */
function listPools(settings: TeamSettings): readonly string[] {
  return Object.keys(settings.pools).map((pool) => `${settings.team}/${pool}`);
}

/**
 * Adds a publication to the history that operators see; removes the oldest one beyond the limit.
 * @param tables - Tables of the replicated state.
 * @param row - The publication with its verdict.
 */
export function recordPublication(tables: FleetTables, row: PublicationRow): void {
  tables.publications.put(row);
  if (tables.publications.size > MAX_PUBLICATION_COUNT) tables.publications.removeOldest();
}

/**
 * Puts settings in force, creates an unheld home for each new pool and retires abandoned homes.
 * @param tables - Tables of the replicated state.
 * @param row - The settings.
 */
function activateSettings(tables: FleetTables, row: SettingsRow): void {
  const former = tables.settings.get(row.team);
  tables.settings.put(row);
  listPools(row.settings)
    .filter((pool) => !tables.homes.has(pool))
    .forEach((pool) => {
      const term = tables.retiredHomes.get(pool)?.term ?? 0;
      tables.retiredHomes.remove(pool);
      tables.homes.put({ pool, instance: undefined, term });
    });
  if (former === undefined) return;
  listPools(former.settings).forEach((pool) => retireAbandonedHome(tables, pool));
}

/**
 * Summarizes the errors of a document for the publication history.
 * @param problems - Errors and warnings.
 * @returns The first errors with their positions, and the number of the others.
 */
function describeProblems(problems: readonly SettingsProblem[]): string {
  const errors = problems.filter((problem) => problem.severity === 'error');
  const shown = errors.slice(0, MAX_SHOWN_PROBLEM_COUNT).map(formatProblem);
  const restCount = errors.length - shown.length;
  return [...shown, ...(restCount > 0 ? [`and ${restCount} more`] : [])].join('; ');
}

/**
 * Validates a publication and puts it in force if it is valid.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
function evaluatePublication(
  tables: FleetTables,
  body: RecordBodyOf<'settings-published'>,
  offset: number,
): RecordVerdict {
  const former = tables.settings.get(body.team);
  const version = former?.version ?? 0;
  // If two operators publish concurrently, the second publication on the log is based on a version
  // that is no longer in force. The record carries its base version, so the second publication
  // cannot undo the first.
  if (body.baseVersion !== version) {
    const inForce =
      former === undefined
        ? 'no version is in force'
        : `version ${version} by ${former.author} is in force`;
    return reject(`The publication starts from version ${body.baseVersion}, but ${inForce}.`);
  }
  if (body.document.length > MAX_DOCUMENT_CHARACTER_COUNT || isTooDeep(body.document)) {
    return reject('The document is too large or nests too deep.');
  }
  const { team, document, author } = body;
  const checked = checkTeamSettings(document, `${team}.jsonc`, { team });
  if (checked.type === 'invalid') return reject(describeProblems(checked.problems));
  const settings = checked.value;
  activateSettings(tables, { team, version: offset + 1, settings, document, author });
  return ACCEPTED;
}

/**
 * Applies a publication of a team's settings.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict.
 */
export function applySettingsPublished(
  tables: FleetTables,
  body: RecordBodyOf<'settings-published'>,
  offset: number,
): RecordVerdict {
  const verdict = evaluatePublication(tables, body, offset);
  const { team, author } = body;
  const reason = verdict.type === 'rejected' ? verdict.reason : '';
  recordPublication(tables, { offset, team, author, verdict: verdict.type, reason });
  return verdict;
}
