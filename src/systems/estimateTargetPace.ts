import { groupBy } from '../utils/index.js';

/** Pace of one run, as a share of the pace that it should have. */
export interface RunPace {
  readonly stepKey: string;
  /** 1 for a run as fast as expected, 0.2 for one that takes five times as long. */
  readonly share: number;
  /** Whether the expected time is that of other tasks of the step, or only an estimate. */
  readonly basis: 'peers' | 'estimate';
}

/** Pace of a target, from all of its recent runs together. */
export interface TargetPace {
  /** Geometric mean of the paces of its runs. */
  readonly share: number;
  /** The pace that the target has at most, given how much runs differ by themselves. */
  readonly upperShare: number;
  readonly runCount: number;
}

/** Standard deviation of the run times of one step's tasks: they are within a third of the mean. */
const TASK_DEVIATION = 1 / 3 / Math.sqrt(3);
/** Standard deviation of estimates, off by up to a half and for all tasks of a step alike. */
const ESTIMATE_DEVIATION = 1 / 2 / Math.sqrt(3);
/** Deviations of the mean within which the true pace lies in 19 of 20 cases. */
const CONFIDENCE_DEVIATIONS = 2;
/** Pace that is assumed for a run without progress, so that its logarithm is finite. */
const MIN_SHARE = 0.01;

function square(value: number): number {
  return value * value;
}

/**
 * Variance of the mean of some runs' logarithmic paces. Tasks differ each by itself; the error of
 * an estimate is the same for all tasks of a step, so ten tasks of one step tell little more than
 * one.
 */
function getVariance(paces: readonly RunPace[]): number {
  const estimated = paces.filter(({ basis }) => basis === 'estimate');
  const byStep = [...groupBy(estimated, ({ stepKey }) => stepKey).values()];
  const ownErrors = paces.length * square(TASK_DEVIATION);
  const sharedErrors = byStep
    .map(({ length }) => square(length * ESTIMATE_DEVIATION))
    .reduce((sum, error) => sum + error, 0);
  return (ownErrors + sharedErrors) / square(paces.length);
}

/**
 * Gets the geometric mean of some paces: one at a half and one at twice the pace make up for each
 * other.
 * @param shares - The paces; one without progress counts as a hundredth.
 * @returns The mean.
 */
export function getGeometricMean(shares: readonly number[]): number {
  const sum = shares
    .map((share) => Math.log(Math.max(MIN_SHARE, share)))
    .reduce((total, value) => total + value, 0);
  return Math.exp(sum / shares.length);
}

/**
 * Estimates the pace of a target from the paces of its runs: several runs that are somewhat late
 * tell as much as a single one that is far behind.
 * @param paces - Paces of its recent runs.
 * @returns The pace; undefined without runs.
 */
export function estimateTargetPace(paces: readonly RunPace[]): TargetPace | undefined {
  if (paces.length === 0) return undefined;
  const share = getGeometricMean(paces.map((pace) => pace.share));
  const margin = CONFIDENCE_DEVIATIONS * Math.sqrt(getVariance(paces));
  return { share, upperShare: share * Math.exp(margin), runCount: paces.length };
}
