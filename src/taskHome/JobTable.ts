import {
  type DurableJobRow,
  encodeJobProgress,
  encodeJobSpec,
  findTask,
  isFinished,
  parseTaskName,
  type StepSpec,
} from '../jobs/index.js';
import type { KeyedRecord } from '../store/index.js';
import type { RunKey } from './RunKey.js';

/** A task that is placed, by its job and its place there. */
export interface PlacedTask {
  readonly row: DurableJobRow;
  readonly position: number;
}

/** The jobs of one home, and which of them differ from what is stored. */
export class JobTable {
  private readonly rows = new Map<string, DurableJobRow>();

  /** Jobs that are not finished, or have tasks on targets. */
  private readonly active = new Map<string, DurableJobRow>();

  private readonly changed = new Set<string>();

  /** Jobs whose specification is not stored yet. */
  private readonly unstored = new Set<string>();

  /**
   * Gets a job.
   * @param jobId - Id of the job.
   * @returns The job, or undefined where there is none.
   */
  get(jobId: string): DurableJobRow | undefined {
    return this.rows.get(jobId);
  }

  /**
   * Lists the jobs.
   * @returns A new array of the jobs, the oldest first.
   */
  list(): readonly DurableJobRow[] {
    return [...this.rows.values()];
  }

  /**
   * Lists the jobs that are not finished, or have tasks on targets. A round of placement walks
   * these alone: finished jobs stay for minutes and soon are most of the table.
   * @returns A new array of the jobs.
   */
  listActive(): readonly DurableJobRow[] {
    return [...this.active.values()];
  }

  /**
   * Lists the targets on which tasks are placed.
   * @returns Their ids.
   */
  listUsedTargets(): ReadonlySet<string> {
    const targetIds = this.listActive()
      .flatMap(({ tasks }) => tasks.map(({ targetId }) => targetId))
      .filter((targetId) => targetId !== undefined);
    return new Set(targetIds);
  }

  /**
   * Takes a job as it is stored.
   * @param row - The job.
   */
  restore(row: DurableJobRow): void {
    const { jobId } = row.spec;
    this.rows.set(jobId, row);
    const isActive = !isFinished(row) || row.tasks.some(({ phase }) => phase === 'placed');
    if (isActive) this.active.set(jobId, row);
    else this.active.delete(jobId);
  }

  /**
   * Adds a job that is not stored yet.
   * @param row - The job.
   */
  add(row: DurableJobRow): void {
    this.unstored.add(row.spec.jobId);
    this.put(row);
  }

  /**
   * Replaces a job.
   * @param row - The job.
   */
  put(row: DurableJobRow): void {
    this.restore(row);
    this.changed.add(row.spec.jobId);
  }

  /**
   * Removes a job.
   * @param jobId - Id of the job.
   */
  remove(jobId: string): void {
    this.rows.delete(jobId);
    this.active.delete(jobId);
    this.changed.delete(jobId);
    this.unstored.delete(jobId);
  }

  /**
   * Takes the records of what has changed since the last call.
   * @returns The records; the caller has to write them.
   */
  takeChanges(): readonly KeyedRecord[] {
    const rows = [...this.changed].map((jobId) => this.rows.get(jobId)!);
    const records = rows.flatMap((row) => {
      const progress = encodeJobProgress(row);
      return this.unstored.has(row.spec.jobId) ? [encodeJobSpec(row.spec), progress] : [progress];
    });
    this.changed.clear();
    this.unstored.clear();
    return records;
  }

  /**
   * Counts the jobs of a queue of which no task has been placed.
   * @param queue - Name of the queue.
   * @returns How many there are.
   */
  countPending(queue: string): number {
    return this.listActive().filter(
      (row) => row.spec.terms.queue === queue && !isFinished(row) && row.state === 'queued',
    ).length;
  }

  /**
   * Finds the task that a run belongs to.
   * @param key - The run.
   * @returns Its job and its place there; undefined where the run is not the task's current one.
   */
  findPlaced(key: RunKey): PlacedTask | undefined {
    const name = parseTaskName(key.taskName);
    const row = name && this.get(name.jobId);
    if (name === undefined || row === undefined) return undefined;
    const position = findTask(row, name);
    const task = row.tasks[position];
    const isCurrent =
      task?.phase === 'placed' && task.run === key.run && task.targetId === key.targetId;
    return isCurrent ? { row, position } : undefined;
  }

  /**
   * Gets the step of a task.
   * @param taskName - Name of the task.
   * @returns The step; undefined for a task of no known job.
   */
  getStep(taskName: string): StepSpec | undefined {
    const name = parseTaskName(taskName);
    return name && this.get(name.jobId)?.spec.steps[name.step];
  }
}
