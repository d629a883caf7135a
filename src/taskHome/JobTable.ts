import {
  advanceOccurrences,
  countOccurrenceTasks,
  type DurableJobRow,
  type DurableJobState,
  encodeEndedJob,
  encodeJobProgress,
  encodeJobSpec,
  encodeSpecRemoval,
  type EndedJob,
  findTask,
  isFinished,
  isSameQueue,
  isVisibleTo,
  type JobCaller,
  type TrackedJob,
  parseTaskName,
  type StepSpec,
  summarizeEndedJob,
  type TaskRow,
} from '../jobs/index.js';
import type { KeyedRecord } from '../store/index.js';
import { listAllocations } from '../systems/index.js';
import { type Clock, SystemClock } from '../utils/index.js';
import type { RunKey } from './RunKey.js';

/** A placed task, identified by its job and its index in the job's tasks. */
export interface PlacedTask {
  readonly row: DurableJobRow;
  readonly position: number;
}

/** A task with its job and its index in the job's tasks. */
export interface FoundTask extends PlacedTask {
  readonly task: TaskRow;
}

/** Tasks that jobs with a schedule may have together before occurrences that are due wait. */
const MAX_SCHEDULED_TASKS = 50_000;
/** Tasks that one such job may have; each round looks at every occurrence that is under way. */
const MAX_SCHEDULED_TASKS_PER_JOB = 1_000;

interface EndedJobEntry {
  readonly job: EndedJob;
  /** When this home learned of the end, by the monotonic clock. */
  readonly knownSinceMs: number;
}

/** The jobs of one home. Tracks which jobs differ from their stored records. */
export class JobTable {
  private readonly clock: Clock;

  /** Jobs that are not finished, or still have tasks on targets. */
  private readonly active = new Map<string, DurableJobRow>();

  private readonly ended = new Map<string, EndedJobEntry>();

  private readonly changed = new Set<string>();

  /** Jobs whose specification is not stored yet. */
  private readonly unstoredSpecs = new Set<string>();

  /** Jobs whose end is not stored yet, with the state that they had before it. */
  private readonly unstoredEnds = new Map<string, DurableJobState>();

  /**
   * Creates an empty table.
   * @param clock - Clock that measures how long ends have been known.
   */
  constructor(clock: Clock = new SystemClock()) {
    this.clock = clock;
  }

  /**
   * Gets a job.
   * @param jobId - Id of the job.
   * @returns The job, or undefined if it is unknown.
   */
  get(jobId: string): TrackedJob | undefined {
    return this.active.get(jobId) ?? this.ended.get(jobId)?.job;
  }

  /**
   * Gets a job that a caller may see.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is, and on which queue.
   * @returns The job, or undefined if it is unknown or the caller may not see it.
   */
  getVisible(jobId: string, caller: JobCaller): TrackedJob | undefined {
    const job = this.get(jobId);
    return job !== undefined && isVisibleTo(job, caller) ? job : undefined;
  }

  /**
   * Gets a job that is not finished, or still has tasks on targets.
   * @param jobId - Id of the job.
   * @returns The job, or undefined if it is unknown or only its end is known.
   */
  getActive(jobId: string): DurableJobRow | undefined {
    return this.active.get(jobId);
  }

  /**
   * Lists the jobs.
   * @returns A new array of the jobs, ended jobs first.
   */
  list(): readonly TrackedJob[] {
    return [...[...this.ended.values()].map(({ job }) => job), ...this.active.values()];
  }

  /**
   * Lists the jobs that are not finished, or still have tasks on targets. A placement round visits
   * only these: finished jobs are kept for minutes and soon make up most of the table.
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
    const occupants = this.listActive().flatMap((row) => listAllocations(row));
    return new Set(occupants.map(({ targetId }) => targetId));
  }

  /**
   * Adds a job in its stored state.
   * @param row - The job.
   */
  restore(row: DurableJobRow): void {
    const { jobId } = row.spec;
    const ended = summarizeEndedJob(row);
    if (ended === undefined) this.active.set(jobId, row);
    else this.restoreEnded(ended);
  }

  /**
   * Adds a job of which only the end is stored.
   * @param ended - The end.
   */
  restoreEnded(ended: EndedJob): void {
    this.active.delete(ended.jobId);
    this.ended.set(ended.jobId, { job: ended, knownSinceMs: this.clock.monotonicMs() });
  }

  /**
   * Lists the jobs whose ends this home has known for at least a given time.
   *
   * Each home measures this time from when it learned of the end. The wall clocks of two homes may
   * differ by 40 minutes: with a stored end time, the next home would remove jobs as it opens and
   * answer "no such job" for an accepted job right after a takeover.
   * @param minKnownMs - Minimum time, in milliseconds.
   * @returns Ids of the jobs.
   */
  listEndedFor(minKnownMs: number): readonly string[] {
    const sinceMs = this.clock.monotonicMs() - minKnownMs;
    return [...this.ended]
      .filter(([, { knownSinceMs }]) => knownSinceMs <= sinceMs)
      .map(([jobId]) => jobId);
  }

  /**
   * Adds a job that is not stored yet.
   * @param row - The job.
   */
  add(row: DurableJobRow): void {
    this.unstoredSpecs.add(row.spec.jobId);
    this.put(row);
  }

  /**
   * Replaces a job.
   * @param row - The job.
   */
  put(row: DurableJobRow): void {
    const { jobId } = row.spec;
    const before = this.active.get(jobId);
    if (before !== undefined && !isFinished(before) && isFinished(row)) {
      this.unstoredEnds.set(jobId, before.state);
    }
    this.restore(row);
    this.changed.add(jobId);
  }

  /**
   * Begins the occurrences of all jobs that are due, and drops those that are done. The next home
   * does the same, so this alone is no change to store.
   * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
   */
  advanceOccurrences(nowMs: number): void {
    const scheduled = this.listActive().filter(
      (row) => row.spec.schedule !== undefined && !isFinished(row),
    );
    const maxTaskCount = Math.min(
      MAX_SCHEDULED_TASKS_PER_JOB,
      Math.floor(MAX_SCHEDULED_TASKS / scheduled.length),
    );
    scheduled.forEach((row) =>
      this.active.set(row.spec.jobId, advanceOccurrences(row, nowMs, maxTaskCount)),
    );
  }

  /**
   * Counts the tasks of the active jobs, as far as they don't grow with the time.
   * @returns The tasks of one occurrence of each job.
   */
  countOccurrenceTasks(): number {
    return this.listActive().reduce((sum, { spec }) => sum + countOccurrenceTasks(spec), 0);
  }

  /**
   * Gets the state of a job that its callers may be told: an end counts once it is stored. If this
   * home is lost before, the next home continues the job.
   * @param jobId - Id of the job.
   * @returns The state, or undefined if the job is unknown.
   */
  getShownState(jobId: string): DurableJobState | undefined {
    return this.unstoredEnds.get(jobId) ?? this.get(jobId)?.state;
  }

  /**
   * Lists the jobs whose end is not stored yet.
   * @returns Their ids.
   */
  listUnstoredEnds(): readonly string[] {
    return [...this.unstoredEnds.keys()];
  }

  /**
   * Records that the ends of jobs are stored.
   * @param jobIds - Ids of the jobs.
   */
  noteEndsStored(jobIds: readonly string[]): void {
    jobIds.forEach((jobId) => this.unstoredEnds.delete(jobId));
  }

  /**
   * Removes a job.
   * @param jobId - Id of the job.
   */
  remove(jobId: string): void {
    this.active.delete(jobId);
    this.ended.delete(jobId);
    this.changed.delete(jobId);
    this.unstoredSpecs.delete(jobId);
    this.unstoredEnds.delete(jobId);
  }

  /**
   * Encodes the jobs that have changed since the last call, and clears the set of changes.
   * @returns The records, which the caller must write.
   */
  takeChanges(): readonly KeyedRecord[] {
    const records = [...this.changed].flatMap((jobId) => this.encode(jobId));
    this.changed.clear();
    this.unstoredSpecs.clear();
    return records;
  }

  /**
   * Counts the jobs of a queue that have no placed task yet, under its name or its address.
   * @param queue - Name of the queue.
   * @param address - Address of the queue; undefined if it has only its name.
   * @returns The number of jobs.
   */
  countPending(queue: string, address?: string): number {
    return this.listActive().filter(
      (row) =>
        row.state === 'queued' &&
        !isFinished(row) &&
        isSameQueue({ queue, address }, row.spec.terms),
    ).length;
  }

  /**
   * Finds a task of a job that is not finished, or still has tasks on targets.
   * @param taskName - Name of the task.
   * @returns The task with its job and its index there; undefined if there is none.
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
   * @returns Its job and its index there; undefined if the run is not the task's current one.
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
   * @returns The step; undefined if the task's job is unknown.
   */
  getStep(taskName: string): StepSpec | undefined {
    const name = parseTaskName(taskName);
    return name && this.getActive(name.jobId)?.spec.steps[name.step];
  }

  /**
   * Encodes a job. Its end precedes the removal of its specification, since a job with neither
   * record is forgotten.
   */
  private encode(jobId: string): readonly KeyedRecord[] {
    const isStored = !this.unstoredSpecs.has(jobId);
    const row = this.active.get(jobId);
    if (row === undefined) {
      const end = encodeEndedJob(this.ended.get(jobId)!.job);
      return isStored ? [end, encodeSpecRemoval(jobId)] : [end];
    }
    const progress = encodeJobProgress(row);
    return isStored ? [progress] : [encodeJobSpec(row.spec), progress];
  }
}
