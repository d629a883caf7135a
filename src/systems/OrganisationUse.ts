import { type DurableJobRow, listPlacedTasks, type Resources } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listReadyTasks } from './listReadyTasks.js';

/** What the tasks of an organisation use and wait for in one pool. */
export interface OrganisationUse {
  readonly organisation: string;
  /** Resources of its placed tasks, started or not, until they have left their targets. */
  readonly used: Resources;
  /** Resources that its tasks whose turn has come wait for. */
  readonly waiting: Resources;
}

/** Names of the resources that a limit counts. */
export const RESOURCE_NAMES = ['cpuMillicores', 'memoryMb', 'gpuCount'] as const;

/** Amounts of no resource. */
export const NO_RESOURCES: Resources = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };

/**
 * Computes each resource by itself.
 * @param compute - Computes the amount of a resource.
 * @returns The amounts.
 */
export function mapResources(
  compute: (name: (typeof RESOURCE_NAMES)[number]) => number,
): Resources {
  return {
    cpuMillicores: compute('cpuMillicores'),
    memoryMb: compute('memoryMb'),
    gpuCount: compute('gpuCount'),
  };
}

/**
 * Adds a number of equal amounts.
 * @param sum - The amounts so far.
 * @param demand - What is added.
 * @param count - How many times it is added.
 * @returns The amounts with it.
 */
export function addResources(sum: Resources, demand: Resources, count = 1): Resources {
  return mapResources((name) => sum[name] + demand[name] * count);
}

function sumUsed(rows: readonly DurableJobRow[]): Resources {
  return rows
    .flatMap((row) => listPlacedTasks(row).map(({ task }) => row.spec.steps[task.step]!.demand))
    .reduce<Resources>((sum, demand) => addResources(sum, demand), NO_RESOURCES);
}

function sumWaiting(rows: readonly DurableJobRow[], nowMs: number): Resources {
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
    used: sumUsed(own),
    waiting: sumWaiting(own, nowMs),
  }));
}
