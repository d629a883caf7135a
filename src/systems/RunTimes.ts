import type { DurableJobRow } from '../jobs/index.js';

/** What has been learned about the tasks of a queue. */
interface Learned {
  readonly runCount: number;
  readonly meanRunMs: number;
  /** Mean distance of the declared from the measured run time, as a share of the mean. */
  readonly meanError: number;
}

/** Runs from which on measurements count for more than declarations. */
const MIN_RUN_COUNT = 8;
/** Weight of a new run in the means: the last twenty or so decide. */
const LEARNING_RATE = 0.05;
/** Error of declarations from which on the mean of the queue says more. */
const MAX_TRUSTED_ERROR = 0.35;
/** Run time of a task about which nothing is known, in milliseconds. */
const UNKNOWN_RUN_MS = 1_000;

/** Learns how long tasks run, by queue, since declared run times are often far off. */
export class RunTimes {
  private readonly byQueue = new Map<string, Learned>();

  /**
   * Takes note of a task that is done.
   * @param queue - Its queue.
   * @param declaredMs - What its caller had guessed.
   * @param runMs - How long it ran.
   */
  note(queue: string, declaredMs: number, runMs: number): void {
    const error = Math.abs(declaredMs - runMs) / Math.max(1, runMs);
    const known = this.byQueue.get(queue);
    if (known === undefined) {
      this.byQueue.set(queue, { runCount: 1, meanRunMs: runMs, meanError: error });
      return;
    }
    const weight = Math.max(LEARNING_RATE, 1 / (known.runCount + 1));
    this.byQueue.set(queue, {
      runCount: known.runCount + 1,
      meanRunMs: known.meanRunMs + weight * (runMs - known.meanRunMs),
      meanError: known.meanError + weight * (error - known.meanError),
    });
  }

  /**
   * Estimates how long a task of a step runs.
   * @param row - The job.
   * @param step - Index of the step.
   * @returns The estimate in milliseconds.
   */
  estimateMs({ spec }: DurableJobRow, step: number): number {
    const declaredMs = spec.steps[step]!.estimatedRunMs;
    const learned = this.byQueue.get(spec.terms.queue);
    if (learned === undefined || learned.runCount < MIN_RUN_COUNT) {
      return declaredMs > 0 ? declaredMs : UNKNOWN_RUN_MS;
    }
    const isTrusted = declaredMs > 0 && learned.meanError < MAX_TRUSTED_ERROR;
    return isTrusted ? declaredMs : learned.meanRunMs;
  }

  /**
   * Estimates how long a job takes from its start where nothing waits: its longest chain of steps.
   * @param row - The job.
   * @returns The estimate in milliseconds.
   */
  estimateChainMs(row: DurableJobRow): number {
    return this.sumLongestChain(row, () => true);
  }

  /**
   * Estimates how long the rest of a job takes where nothing waits: its longest chain of steps that
   * are not done.
   * @param row - The job.
   * @returns The estimate in milliseconds.
   */
  estimateRestMs(row: DurableJobRow): number {
    const openSteps = new Set(
      row.tasks.filter(({ phase }) => phase !== 'done').map(({ step }) => step),
    );
    return this.sumLongestChain(row, (step) => openSteps.has(step));
  }

  /**
   * Estimates the work that is left of a job.
   * @param row - The job.
   * @returns Thousandths of a core times milliseconds.
   */
  estimateWork(row: DurableJobRow): number {
    return row.tasks
      .filter(({ phase }) => phase !== 'done')
      .reduce((sum, { step }) => {
        const { isLongRunning, demand } = row.spec.steps[step]!;
        return sum + (isLongRunning ? 0 : demand.cpuMillicores * this.estimateMs(row, step));
      }, 0);
  }

  private sumLongestChain(row: DurableJobRow, isCounted: (step: number) => boolean): number {
    const endsMs = row.spec.steps.reduce<readonly number[]>((ends, { afterSteps }, step) => {
      const startMs = Math.max(0, ...afterSteps.map((before) => ends[before] ?? 0));
      return [...ends, startMs + (isCounted(step) ? this.estimateMs(row, step) : 0)];
    }, []);
    return Math.max(0, ...endsMs);
  }
}
