import type { DurableJobRow, Resources, StepSpec } from '../jobs/index.js';

/** A target as placement sees it. */
export interface PlacementTarget {
  readonly targetId: string;
  readonly pool: string;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Whether the target may get new tasks; false while it drains, is unheard of or fails tasks. */
  readonly takesTasks: boolean;
  /** Whether it has started a short while ago, perhaps after a crash. */
  readonly hasJustStarted?: boolean;
  /** Whether a task that may have crashed a target has just begun there. */
  readonly holdsSuspect?: boolean;
}

/**
 * Computes what a task takes from the room of its target; a best-effort task takes no processor.
 * @param step - The task's step.
 * @returns The resources.
 */
export function getOccupied(step: StepSpec): Resources {
  return step.isBestEffort ? { ...step.demand, cpuMillicores: 0 } : step.demand;
}

/**
 * Tells whether tasks need more than a target has.
 * @param steps - Their steps, one for each task.
 * @param capacity - What the target has in all.
 * @returns Whether one of the resources is exceeded.
 */
export function exceedsCapacity(steps: readonly StepSpec[], capacity: Resources): boolean {
  const sum = (read: (occupied: Resources) => number): number =>
    steps.reduce((total, step) => total + read(getOccupied(step)), 0);
  return (
    sum(({ cpuMillicores }) => cpuMillicores) > capacity.cpuMillicores ||
    sum(({ memoryMb }) => memoryMb) > capacity.memoryMb ||
    sum(({ gpuCount }) => gpuCount) > capacity.gpuCount
  );
}

/** Room of one target during a round of placement. */
export class TargetRoom {
  readonly target: PlacementTarget;

  private cpuMillicores: number;

  private memoryMb: number;

  private gpuCount: number;

  private longRunningCount = 0;

  private taskCount = 0;

  private holdsSuspect: boolean;

  private readonly countsByStep = new Map<string, number>();

  /**
   * Starts with an empty target.
   * @param target - The target.
   */
  constructor(target: PlacementTarget) {
    this.target = target;
    this.holdsSuspect = target.holdsSuspect === true;
    ({
      cpuMillicores: this.cpuMillicores,
      memoryMb: this.memoryMb,
      gpuCount: this.gpuCount,
    } = target.capacity);
  }

  /** Whether a long-running task keeps the target from falling idle. */
  get isHeld(): boolean {
    return this.longRunningCount > 0;
  }

  /**
   * What a crash here would cost, the worst first: tasks that last; doubt about its cause, where
   * the target may be one that crashes whatever it runs; other tasks.
   */
  get stake(): readonly number[] {
    return [this.longRunningCount, this.target.hasJustStarted === true ? 1 : 0, this.taskCount];
  }

  /**
   * Keeps others out from now on, for a task that may have crashed a target.
   *
   * Guards against neighbours that lose their work with the next crash, and against a crash of
   * which nobody can tell which of two such tasks caused it.
   */
  reserve(): void {
    this.holdsSuspect = true;
  }

  /** Whether the target takes tasks at all, and no suspect keeps others out. */
  get isOpen(): boolean {
    return this.target.takesTasks && !this.holdsSuspect;
  }

  /** Processor that no task occupies, in thousandths of a core. */
  get freeCpuMillicores(): number {
    return this.cpuMillicores;
  }

  /**
   * Takes room for a task.
   * @param stepKey - Job, occurrence and step of the task.
   * @param step - The step.
   */
  take(stepKey: string, step: StepSpec): void {
    const occupied = getOccupied(step);
    this.cpuMillicores -= occupied.cpuMillicores;
    this.memoryMb -= occupied.memoryMb;
    this.gpuCount -= occupied.gpuCount;
    this.longRunningCount += step.isLongRunning ? 1 : 0;
    this.taskCount += 1;
    this.countsByStep.set(stepKey, this.countOf(stepKey) + 1);
  }

  /**
   * Gives the room of a task back.
   * @param stepKey - Job, occurrence and step of the task.
   * @param step - The step.
   */
  release(stepKey: string, step: StepSpec): void {
    const occupied = getOccupied(step);
    this.cpuMillicores += occupied.cpuMillicores;
    this.memoryMb += occupied.memoryMb;
    this.gpuCount += occupied.gpuCount;
    this.longRunningCount -= step.isLongRunning ? 1 : 0;
    this.taskCount -= 1;
    this.countsByStep.set(stepKey, this.countOf(stepKey) - 1);
  }

  /**
   * Counts the tasks of a step here.
   * @param stepKey - Job, occurrence and step.
   * @returns How many there are.
   */
  countOf(stepKey: string): number {
    return this.countsByStep.get(stepKey) ?? 0;
  }

  /**
   * Tells whether one more task of a step may run here.
   * @param stepKey - Job, occurrence and step.
   * @param step - The step.
   * @returns Whether there is room and the step's own limits allow it.
   */
  accepts(stepKey: string, step: StepSpec): boolean {
    const { labels } = this.target;
    const occupied = getOccupied(step);
    return (
      this.isOpen &&
      occupied.cpuMillicores <= this.cpuMillicores &&
      occupied.memoryMb <= this.memoryMb &&
      occupied.gpuCount <= this.gpuCount &&
      (step.requiredLabel === undefined || labels.includes(step.requiredLabel)) &&
      this.countOf(stepKey) < (step.maxTasksPerTarget ?? Infinity)
    );
  }
}

/**
 * Names a step of one occurrence of a job.
 * @param row - The job.
 * @param occurrence - Number of the occurrence.
 * @param step - Index of the step.
 * @returns A key, unique over all jobs.
 */
export function getStepKey({ spec }: DurableJobRow, occurrence: number, step: number): string {
  return `${spec.jobId}.${occurrence}.${step}`;
}
