import { addResources, type DurableJobRow, NO_RESOURCES, type Resources } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listAllocations } from './listAllocations.js';
import { listReadyTasks } from './listReadyTasks.js';

/** What the tasks of an organisation use and wait for in one pool. */
export interface OrganisationUse {
  readonly organisation: string;
  /** Resources of its placed tasks, started or not, until they have left their targets. */
  readonly used: Resources;
  /** Resources that its tasks whose turn has come wait for. */
  readonly waiting: Resources;
}

/**
 * Gets the key by which jobs are grouped that have their share of a pool in common.
 * @param row - A job.
 * @returns The key, the same for all jobs of the organisation in the pool.
 */
export function getShareKey({ spec }: DurableJobRow): string {
  return `${spec.terms.pool}/${spec.organisation ?? ''}`;
}

/**
 * Sums up what jobs use. The sizes of tasks count as their jobs name them.
 * @param rows - The jobs.
 * @returns The resources of their placed tasks.
 */
export function sumUsedResources(rows: readonly DurableJobRow[]): Resources {
  return rows
    .flatMap((row) => listAllocations(row))
    .reduce<Resources>((sum, { step }) => addResources(sum, step.demand), NO_RESOURCES);
}

function sumWaitingResources(rows: readonly DurableJobRow[], nowMs: number): Resources {
  return rows
    .flatMap((row) => listReadyTasks(row, nowMs).map((ready) => ({ row, ready })))
    .reduce<Resources>(
      (sum, { row, ready }) =>
        addResources(sum, row.spec.steps[ready.step]!.demand, ready.positions.length),
      NO_RESOURCES,
    );
}

/**
 * Sums up what organisations use and wait for. The sizes of tasks count as their jobs name them.
 * @param rows - Jobs of a pool.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns One entry for each organisation that has such jobs.
 */
export function listOrganisationUse(
  rows: readonly DurableJobRow[],
  nowMs: number,
): readonly OrganisationUse[] {
  const owned = rows.filter(({ spec }) => spec.organisation !== undefined);
  return [...groupBy(owned, ({ spec }) => spec.organisation!)].map(([organisation, own]) => ({
    organisation,
    used: sumUsedResources(own),
    waiting: sumWaitingResources(own, nowMs),
  }));
}
