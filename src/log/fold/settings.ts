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
 * Describes what is wrong with a document, as far as a person reads it in the history.
 * @param problems - Errors and warnings.
 * @returns The first errors, each with its place.
 */
function describeProblems(problems: readonly SettingsProblem[]): string {
  const errors = problems.filter((problem) => problem.severity === 'error');
  const shown = errors.slice(0, MAX_SHOWN_PROBLEM_COUNT).map(formatProblem);
  const restCount = errors.length - shown.length;
  return [...shown, ...(restCount > 0 ? [`and ${restCount} more`] : [])].join('; ');
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
  if (body.document.length > MAX_DOCUMENT_CHARACTER_COUNT || isTooDeep(body.document)) {
    return reject('The document is too large or nests too deep.');
  }
  const { team, document, author } = body;
  const checked = checkTeamSettings(document, `${team}.jsonc`, { team });
  if (checked.type === 'invalid') return reject(describeProblems(checked.problems));
  const settings = checked.value;
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
