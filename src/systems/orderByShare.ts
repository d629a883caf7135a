import type { DurableJobRow } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listAllocations } from './listAllocations.js';
import { getShareKey } from './OrganisationUse.js';
import { sumReadyCpu } from './sumReadyCpu.js';
import { getAllocatedResources } from './TargetCapacity.js';

/** Gets the weight of an organisation among the others. */
export type GetWeight = (organisation: string) => number;

/** Weight of the jobs that belong to no organisation, taken together. */
const WEIGHT_WITHOUT_ORGANISATION = 1;
/** Smallest weight that counts, so that an organisation of weight 0 waits but is not forgotten. */
const MIN_WEIGHT = 0.01;

/**
 * Gets the weight that counts for an organisation.
 * @param organisation - The organisation; undefined for the jobs that belong to none.
 * @param getWeight - Gets the weights of the configuration.
 * @returns The weight, which is positive.
 */
export function getShareWeight(organisation: string | undefined, getWeight: GetWeight): number {
  const weight = organisation === undefined ? WEIGHT_WITHOUT_ORGANISATION : getWeight(organisation);
  return Math.max(MIN_WEIGHT, weight);
}

/** Input of {@link orderByShare}. */
export interface OrderByShareInput {
  /** Jobs of equal standing, in the order that holds within an organisation. */
  readonly jobs: readonly DurableJobRow[];
  /** Every job with tasks on targets. */
  readonly allocatedJobs: readonly DurableJobRow[];
  readonly getWeight: GetWeight;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

function sumAllocatedCpu(row: DurableJobRow): number {
  return listAllocations(row)
    .map(({ step }) => getAllocatedResources(step).cpuMillicores)
    .reduce((sum, cpuMillicores) => sum + cpuMillicores, 0);
}

/**
 * Orders jobs by start-time fair queueing: by what their organisation uses already in the pool and
 * would use with its jobs before them, in relation to its weight.
 *
 * This handles one organisation that sends many times its usual while the pool is full. By age or
 * objective alone its jobs would take the place of all others' in proportion to their number. Where
 * all fits, or nobody has an organisation, the order has no effect.
 * @param input - The jobs, what is placed, and the weights.
 * @returns The jobs in placement order.
 */
export function orderByShare(input: OrderByShareInput): readonly DurableJobRow[] {
  const { jobs, allocatedJobs, getWeight, nowMs } = input;
  if (jobs.every(({ spec }) => spec.organisation === undefined)) return jobs;
  const allocatedByShare = groupBy(allocatedJobs, getShareKey);
  const jobsByShare = groupBy(jobs, getShareKey);
  const startTimes = new Map<DurableJobRow, number>();
  jobsByShare.forEach((own, key) => {
    const weight = getShareWeight(own[0]!.spec.organisation, getWeight);
    const allocated = allocatedByShare.get(key) ?? [];
    let usedCpu = allocated.reduce((sum, row) => sum + sumAllocatedCpu(row), 0);
    own.forEach((row) => {
      startTimes.set(row, usedCpu / weight);
      usedCpu += sumReadyCpu([row], nowMs);
    });
  });
  return jobs.toSorted((a, b) => startTimes.get(a)! - startTimes.get(b)!);
}
