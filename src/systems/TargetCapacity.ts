import type { DurableJobRow, Resources, StepSpec } from '../jobs/index.js';
import { assertNever } from '../utils/index.js';
import type { TargetIntake } from './TargetVerdicts.js';

/** A target that placement may choose. */
export interface PlacementTarget {
  readonly targetId: string;
  readonly pool: string;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Whether the target may get new tasks; false while it drains, is silent or fails its tasks. */
  readonly takesTasks: boolean;
  /** Whether the target has started recently, possibly after a crash. */
  readonly hasJustStarted?: boolean;
  /** Whether a task that may have crashed a target has just started on this one. */
  readonly holdsSuspect?: boolean;
  /** Which tasks the target may get if it is slow or fails; all if absent. */
  readonly intake?: TargetIntake;
}

/**
 * Returns the resources that are allocated to a task; a best-effort task is allocated no CPU.
 * @param step - The task's step.
 * @returns The resources.
 */
export function getAllocatedResources(step: StepSpec): Resources {
  return step.isBestEffort ? { ...step.demand, cpuMillicores: 0 } : step.demand;
}

/**
 * Tells whether tasks need more resources than a target has.
 * @param steps - The steps of the tasks, one entry for each task.
 * @param capacity - Total resources of the target.
 * @returns Whether one of the resources is exceeded.
 */
export function exceedsCapacity(steps: readonly StepSpec[], capacity: Resources): boolean {
  const sum = (read: (resources: Resources) => number): number =>
    steps.reduce((total, step) => total + read(getAllocatedResources(step)), 0);
  return (
    sum(({ cpuMillicores }) => cpuMillicores) > capacity.cpuMillicores ||
    sum(({ memoryMb }) => memoryMb) > capacity.memoryMb ||
    sum(({ gpuCount }) => gpuCount) > capacity.gpuCount
  );
}

/** Tracks the free capacity of one target during a round of placement. */
export class TargetCapacity {
  readonly target: PlacementTarget;

  /** Whether the target is avoided, as it is slow or fails. */
  readonly isAvoided: boolean;

  private cpuMillicores: number;

  private memoryMb: number;

  private gpuCount: number;

  private longRunningCount = 0;

  private taskCount = 0;

  private holdsSuspect: boolean;

  private readonly intake: TargetIntake;

  private readonly countsByStep = new Map<string, number>();

  /**
   * Creates the capacity of a target without tasks.
   * @param target - The target.
   */
  constructor(target: PlacementTarget) {
    this.target = target;
    this.holdsSuspect = target.holdsSuspect === true;
    this.intake = target.intake ?? 'all';
    this.isAvoided = this.intake !== 'all';
    ({
      cpuMillicores: this.cpuMillicores,
      memoryMb: this.memoryMb,
      gpuCount: this.gpuCount,
    } = target.capacity);
  }

  /** Whether a long-running task keeps the target from becoming idle. */
  get hasLongRunningTasks(): boolean {
    return this.longRunningCount > 0;
  }

  /**
   * Cost of a crash of this target, the most important part first: the number of long-running
   * tasks, whether the cause would be ambiguous because the target may be one that crashes
   * regardless of its tasks, and the number of all tasks.
   */
  get crashCost(): readonly number[] {
    return [this.longRunningCount, this.target.hasJustStarted === true ? 1 : 0, this.taskCount];
  }

  /**
   * Reserves the target for a task that may have crashed a target; it accepts no more tasks.
   *
   * Otherwise other tasks would lose their work in the next crash, and if two such tasks shared a
   * target, the cause of a crash would be ambiguous.
   */
  reserve(): void {
    this.holdsSuspect = true;
  }

  /** Whether the target takes tasks and is not reserved for a suspect. */
  get acceptsTasks(): boolean {
    return this.target.takesTasks && !this.holdsSuspect;
  }

  /**
   * Tells whether the target is open to the tasks of a step, as far as it is avoided. Services may
   * always start there, as they must not stay down while there is room.
   * @param step - The step.
   * @param mayProbe - Whether its job bears a slow run, which shows how the target runs now.
   * @returns Whether a task may start there if there is room.
   */
  isOpenTo(step: StepSpec, mayProbe = true): boolean {
    if (step.isLongRunning || !this.isAvoided) return true;
    return this.isOpenToTasks && mayProbe && !step.isGang;
  }

  /** Whether the target is open to some task that is not long-running. */
  get isOpenToTasks(): boolean {
    switch (this.intake) {
      case 'all':
        return true;
      case 'probes':
        return this.taskCount === this.longRunningCount;
      case 'services':
        return false;
      default:
        return assertNever(this.intake);
    }
  }

  /** Unallocated CPU, in thousandths of a core. */
  get freeCpuMillicores(): number {
    return this.cpuMillicores;
  }

  /**
   * Allocates resources to a task.
   * @param stepKey - Job, occurrence and step of the task.
   * @param step - The step.
   */
  allocate(stepKey: string, step: StepSpec): void {
    const allocated = getAllocatedResources(step);
    this.cpuMillicores -= allocated.cpuMillicores;
    this.memoryMb -= allocated.memoryMb;
    this.gpuCount -= allocated.gpuCount;
    this.longRunningCount += step.isLongRunning ? 1 : 0;
    this.taskCount += 1;
    this.countsByStep.set(stepKey, this.countTasks(stepKey) + 1);
  }

  /**
   * Releases the resources of a task.
   * @param stepKey - Job, occurrence and step of the task.
   * @param step - The step.
   */
  release(stepKey: string, step: StepSpec): void {
    const released = getAllocatedResources(step);
    this.cpuMillicores += released.cpuMillicores;
    this.memoryMb += released.memoryMb;
    this.gpuCount += released.gpuCount;
    this.longRunningCount -= step.isLongRunning ? 1 : 0;
    this.taskCount -= 1;
    this.countsByStep.set(stepKey, this.countTasks(stepKey) - 1);
  }

  /**
   * Counts the tasks of a step on this target.
   * @param stepKey - Job, occurrence and step.
   * @returns The number of tasks.
   */
  countTasks(stepKey: string): number {
    return this.countsByStep.get(stepKey) ?? 0;
  }

  /**
   * Tells whether one more task of a step may run on this target.
   * @param stepKey - Job, occurrence and step.
   * @param step - The step.
   * @param mayProbe - Whether its job bears a slow run.
   * @returns Whether the free capacity suffices and the constraints of the step are met.
   */
  accepts(stepKey: string, step: StepSpec, mayProbe = true): boolean {
    return (
      this.acceptsTasks &&
      this.isOpenTo(step, mayProbe) &&
      this.hasRoomFor(step) &&
      this.countTasks(stepKey) < (step.maxTasksPerTarget ?? Infinity)
    );
  }

  /**
   * Tells whether the free capacity suffices for one more task of a step, and the target has the
   * label that it needs.
   * @param step - The step.
   * @returns Whether it does, even if the target takes no tasks.
   */
  hasRoomFor(step: StepSpec): boolean {
    const { labels } = this.target;
    const needed = getAllocatedResources(step);
    return (
      needed.cpuMillicores <= this.cpuMillicores &&
      needed.memoryMb <= this.memoryMb &&
      needed.gpuCount <= this.gpuCount &&
      (step.requiredLabel === undefined || labels.includes(step.requiredLabel))
    );
  }
}

/**
 * Builds the key of a step in one occurrence of a job.
 * @param row - The job.
 * @param occurrence - Number of the occurrence.
 * @param step - Index of the step.
 * @returns The key, unique across all jobs.
 */
export function getStepKey({ spec }: DurableJobRow, occurrence: number, step: number): string {
  return `${spec.jobId}.${occurrence}.${step}`;
}
