import {
  type DurableJobRow,
  encodeEndedJob,
  encodeJobProgress,
  encodeJobSpec,
  encodeSpecRemoval,
  type EndedJob,
  findTask,
  isFinished,
  type KnownJob,
  parseTaskName,
  type StepSpec,
  summarizeEnded,
  type TaskRow,
} from '../jobs/index.js';
import type { KeyedRecord } from '../store/index.js';
import { listOccupants } from '../systems/index.js';
import { type Clock, SystemClock } from '../utils/index.js';
import type { RunKey } from './RunKey.js';

/** A task that is placed, by its job and its place there. */
export interface PlacedTask {
  readonly row: DurableJobRow;
  readonly position: number;
}

/** A task with its job and its place there. */
export interface FoundTask extends PlacedTask {
  readonly task: TaskRow;
}

interface KeptEnd {
  readonly job: EndedJob;
  /** Since when this home has known the end, by the monotonic clock. */
  readonly knownSinceMs: number;
}

/** The jobs of one home, and which of them differ from what is stored. */
export class JobTable {
  private readonly clock: Clock;

  /** Jobs that are not finished, or have tasks on targets. */
  private readonly active = new Map<string, DurableJobRow>();

  private readonly ended = new Map<string, KeptEnd>();

  private readonly changed = new Set<string>();

  /** Jobs whose specification is not stored yet. */
  private readonly unstored = new Set<string>();

  /**
   * Creates a table without jobs.
   * @param clock - Tells for how long ends have been known.
   */
  constructor(clock: Clock = new SystemClock()) {
    this.clock = clock;
  }

  /**
   * Gets a job.
   * @param jobId - Id of the job.
   * @returns The job, or undefined where there is none.
   */
  get(jobId: string): KnownJob | undefined {
    return this.active.get(jobId) ?? this.ended.get(jobId)?.job;
  }

  /**
   * Gets a job that is not finished, or has tasks on targets.
   * @param jobId - Id of the job.
   * @returns The job, or undefined where there is none or only its end is known.
   */
  getActive(jobId: string): DurableJobRow | undefined {
    return this.active.get(jobId);
  }

  /**
   * Lists the jobs.
   * @returns A new array of the jobs, those that have ended first.
   */
  list(): readonly KnownJob[] {
    return [...[...this.ended.values()].map(({ job }) => job), ...this.active.values()];
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
    const occupants = this.listActive().flatMap((row) => listOccupants(row));
    return new Set(occupants.map(({ targetId }) => targetId));
  }

  /**
   * Takes a job as it is stored.
   * @param row - The job.
   */
  restore(row: DurableJobRow): void {
    const { jobId } = row.spec;
    const ended = summarizeEnded(row);
    if (ended === undefined) this.active.set(jobId, row);
    else this.restoreEnded(ended);
  }

  /**
   * Takes a job over of which only its end is stored.
   * @param ended - The end.
   */
  restoreEnded(ended: EndedJob): void {
    this.active.delete(ended.jobId);
    this.ended.set(ended.jobId, { job: ended, knownSinceMs: this.clock.monotonicMs() });
  }

  /**
   * Lists the jobs whose ends this home has known for long.
   *
   * Guards against an accepted job that is denied: the time of day of two homes may be 40 minutes
   * apart, and by a stored time of the end the next home would forget jobs as it opens, which shows
   * as a question answered "no such job" right after a takeover. So each home counts anew.
   * @param minMs - How long it is at least, in milliseconds.
   * @returns Ids of the jobs.
   */
  listEndedFor(minMs: number): readonly string[] {
    const sinceMs = this.clock.monotonicMs() - minMs;
    return [...this.ended]
      .filter(([, { knownSinceMs }]) => knownSinceMs <= sinceMs)
      .map(([jobId]) => jobId);
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
    this.active.delete(jobId);
    this.ended.delete(jobId);
    this.changed.delete(jobId);
    this.unstored.delete(jobId);
  }

  /**
   * Takes the records of what has changed since the last call.
   * @returns The records; the caller has to write them.
   */
  takeChanges(): readonly KeyedRecord[] {
    const records = [...this.changed].flatMap((jobId) => this.encode(jobId));
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
   * Finds a task of a job that is not finished, or has tasks on targets.
   * @param taskName - Name of the task.
   * @returns The task with its job and its place there; undefined where there is none.
   */
  findTask(taskName: string): FoundTask | undefined {
    const name = parseTaskName(taskName);
    const row = name && this.getActive(name.jobId);
    if (name === undefined || row === undefined) return undefined;
    const position = findTask(row, name);
    const task = row.tasks[position];
    return task && { row, position, task };
  }

  /**
   * Finds the task that a run belongs to.
   * @param key - The run.
   * @returns Its job and its place there; undefined where the run is not the task's current one.
   */
  findPlaced(key: RunKey): PlacedTask | undefined {
    const found = this.findTask(key.taskName);
    const { phase, run, targetId } = found?.task ?? {};
    const isCurrent = phase === 'placed' && run === key.run && targetId === key.targetId;
    return isCurrent ? found : undefined;
  }

  /**
   * Gets the step of a task.
   * @param taskName - Name of the task.
   * @returns The step; undefined for a task of no known job.
   */
  getStep(taskName: string): StepSpec | undefined {
    const name = parseTaskName(taskName);
    return name && this.getActive(name.jobId)?.spec.steps[name.step];
  }

  /** The end of a job is written before its specification goes: a job with neither is forgotten. */
  private encode(jobId: string): readonly KeyedRecord[] {
    const isStored = !this.unstored.has(jobId);
    const row = this.active.get(jobId);
    if (row === undefined) {
      const end = encodeEndedJob(this.ended.get(jobId)!.job);
      return isStored ? [end, encodeSpecRemoval(jobId)] : [end];
    }
    const progress = encodeJobProgress(row);
    return isStored ? [progress] : [encodeJobSpec(row.spec), progress];
  }
}
