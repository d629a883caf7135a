import type { DurableJobRow } from '../jobs/index.js';
import { memoizeByObject } from '../utils/index.js';

/** Measured run time of a finished task, with its queue, image and declared run time. */
export interface MeasuredRun {
  readonly queue: string;
  /** Image that its step runs, if the caller named one. */
  readonly image: string | undefined;
  /** Run time that the caller declared, in milliseconds; 0 if none was declared. */
  readonly declaredMs: number;
  readonly runMs: number;
}

/** Exponential moving average. */
interface Mean {
  readonly count: number;
  readonly value: number;
}

/** Mean relative error of each estimation method in one queue. */
interface EstimateErrors {
  readonly declared: Mean;
  readonly byQueue: Mean;
  readonly byImage: Mean;
}

/** Runs from which on a mean is reliable. */
const MIN_RUN_COUNT = 8;
/** Weight of a new run in the means, which corresponds to about the last twenty runs. */
const LEARNING_RATE = 0.05;
/** Run time assumed for a task without declaration or measurements, in milliseconds. */
const DEFAULT_RUN_MS = 1_000;

const NO_MEAN: Mean = { count: 0, value: 0 };
const NO_ERRORS: EstimateErrors = { declared: NO_MEAN, byQueue: NO_MEAN, byImage: NO_MEAN };

/** Counts the unfinished tasks of each step. */
const countUnfinishedTasks = memoizeByObject(({ spec, tasks }: DurableJobRow): readonly number[] =>
  tasks
    .filter(({ phase }) => phase !== 'done')
    .reduce(
      (counts, { step }) => counts.with(step, counts[step]! + 1),
      spec.steps.map(() => 0),
    ),
);

function updateMean({ count, value }: Mean, added: number): Mean {
  const weight = Math.max(LEARNING_RATE, 1 / (count + 1));
  return { count: count + 1, value: value + weight * (added - value) };
}

function isReliable({ count }: Mean): boolean {
  return count >= MIN_RUN_COUNT;
}

/**
 * Learns how long tasks run, since declared run times are often far off. The estimate for a task is
 * the declared run time, the mean of its queue or the mean of its image, whichever method has the
 * smallest mean error in the queue.
 */
export class RunTimes {
  private readonly byQueue = new Map<string, Mean>();

  private readonly byImage = new Map<string, Mean>();

  private readonly errors = new Map<string, EstimateErrors>();

  private readonly isLearning: boolean;

  /**
   * Creates estimates without measurements.
   * @param isLearning - Whether measurements are used; otherwise only declarations are.
   */
  constructor(isLearning = true) {
    this.isLearning = isLearning;
  }

  /**
   * Records a finished task.
   * @param run - The task and its run time.
   */
  record({ queue, image, declaredMs, runMs }: MeasuredRun): void {
    const queueMean = this.byQueue.get(queue) ?? NO_MEAN;
    const imageMean = image === undefined ? NO_MEAN : this.getImageMean(queue, image);
    const known = this.errors.get(queue) ?? NO_ERRORS;
    const updateError = (errors: Mean, estimateMs: number, isAvailable: boolean): Mean =>
      isAvailable ? updateMean(errors, Math.abs(estimateMs - runMs) / Math.max(1, runMs)) : errors;
    this.errors.set(queue, {
      declared: updateError(known.declared, declaredMs, declaredMs > 0),
      byQueue: updateError(known.byQueue, queueMean.value, isReliable(queueMean)),
      byImage: updateError(known.byImage, imageMean.value, isReliable(imageMean)),
    });
    this.byQueue.set(queue, updateMean(queueMean, runMs));
    if (image === undefined) return;
    this.byImage.set(RunTimes.getImageKey(queue, image), updateMean(imageMean, runMs));
  }

  /**
   * Estimates how long a task of a step runs.
   * @param row - The job.
   * @param step - Index of the step.
   * @returns The estimate in milliseconds.
   */
  estimateMs({ spec }: DurableJobRow, step: number): number {
    const { estimatedRunMs: declaredMs, image } = spec.steps[step]!;
    const { queue } = spec.terms;
    const declared = declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
    const queueMean = this.byQueue.get(queue) ?? NO_MEAN;
    if (!this.isLearning || !isReliable(queueMean)) return declared;
    const imageMean = image === undefined ? NO_MEAN : this.getImageMean(queue, image);
    const errors = this.errors.get(queue) ?? NO_ERRORS;
    const getError = (error: Mean, isUsable: boolean): number =>
      isUsable && isReliable(error) ? error.value : Infinity;
    return [
      { errorShare: getError(errors.declared, declaredMs > 0), valueMs: declared },
      { errorShare: getError(errors.byImage, isReliable(imageMean)), valueMs: imageMean.value },
      { errorShare: getError(errors.byQueue, true), valueMs: queueMean.value },
    ].reduce((best, next) => (next.errorShare < best.errorShare ? next : best)).valueMs;
  }

  /**
   * Estimates how long a job takes from its start if no task waits: its critical path.
   * @param row - The job.
   * @returns The estimate in milliseconds.
   */
  estimateChainMs(row: DurableJobRow): number {
    return this.sumLongestChain(row, () => true);
  }

  /**
   * Estimates how long the rest of a job takes if no task waits: the critical path of its
   * unfinished steps.
   * @param row - The job.
   * @returns The estimate in milliseconds.
   */
  estimateRemainingMs(row: DurableJobRow): number {
    const unfinishedCounts = countUnfinishedTasks(row);
    return this.sumLongestChain(row, (step) => unfinishedCounts[step]! > 0);
  }

  /**
   * Estimates the remaining work of a job, without its long-running tasks.
   * @param row - The job.
   * @returns The work in thousandths of a core times milliseconds.
   */
  estimateRemainingWork(row: DurableJobRow): number {
    const unfinishedCounts = countUnfinishedTasks(row);
    return row.spec.steps
      .map(({ isLongRunning, demand }, step) => {
        const unfinishedCount = isLongRunning ? 0 : unfinishedCounts[step]!;
        return unfinishedCount === 0
          ? 0
          : unfinishedCount * demand.cpuMillicores * this.estimateMs(row, step);
      })
      .reduce((sum, work) => sum + work, 0);
  }

  private static getImageKey(queue: string, image: string): string {
    return `${queue} ${image}`;
  }

  private getImageMean(queue: string, image: string): Mean {
    return this.byImage.get(RunTimes.getImageKey(queue, image)) ?? NO_MEAN;
  }

  private sumLongestChain(row: DurableJobRow, isCounted: (step: number) => boolean): number {
    const endsMs = row.spec.steps.reduce<readonly number[]>((ends, { afterSteps }, step) => {
      const startMs = Math.max(0, ...afterSteps.map((before) => ends[before] ?? 0));
      return [...ends, startMs + (isCounted(step) ? this.estimateMs(row, step) : 0)];
    }, []);
    return Math.max(0, ...endsMs);
  }
}
