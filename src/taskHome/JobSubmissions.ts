import { throwError } from '../errors/index.js';
import {
  countOccurrenceTasks,
  type DurableJobSpec,
  isVisibleTo,
  type JobCaller,
  type PoolSearch,
  type QueueReference,
  type TrackedJob,
} from '../jobs/index.js';
import type { Clock } from '../utils/index.js';
import { createStorableJob } from './createStorableJob.js';
import type { JobAdmission } from './JobAdmission.js';
import type { JobTable } from './JobTable.js';
import type { PoolArrivals } from './PoolArrivals.js';
import type { QueueMoves } from './QueueMoves.js';
import type { RecordWriter } from './RecordWriter.js';
import type { TaskRuns } from './TaskRuns.js';

/** Tasks of the jobs of one home; about 20 MB of an instance that may have 128. */
const MAX_HOME_TASKS = 200_000;

/** Options of {@link JobSubmissions}. */
export interface JobSubmissionsOptions {
  readonly table: JobTable;
  readonly writer: RecordWriter;
  readonly runs: TaskRuns;
  readonly arrivals: PoolArrivals;
  readonly admission: JobAdmission;
  readonly moves: QueueMoves;
  /** Maximum size of a record, with its key, in bytes; no bound if absent. */
  readonly maxRecordBytes?: number;
  readonly clock: Clock;
  /** Places ready tasks and stores all changes. */
  readonly flush: () => Promise<void>;
}

/** A job for which a later pool of its queue asks. */
export interface SoughtJob {
  readonly jobId: string;
  /** Organisation of the caller; absent if its call needs no key. */
  readonly organisation?: string;
  /** The queue as the later pool has it. */
  readonly queue: QueueReference;
}

/**
 * Tells whether a search was as wide as the one that is needed. Guards against a search that is out
 * of date: a pool that denied the job may have accepted it since, by a later version.
 */
function covers(search: PoolSearch | undefined, needed: PoolSearch): boolean {
  if (needed.pools.length === 0) return true;
  if (search === undefined || search.configurationVersion < needed.configurationVersion) {
    return false;
  }
  return needed.pools.every((pool) => search.pools.includes(pool));
}

/** Takes the jobs that callers submit to a home. */
export class JobSubmissions {
  private readonly options: JobSubmissionsOptions;

  /**
   * Creates the taker of a home's jobs.
   * @param options - The jobs, and what decides on new ones.
   */
  constructor(options: JobSubmissionsOptions) {
    this.options = options;
  }

  /**
   * Stores a job unless it is known or refused. A refusal leaves nothing behind; only the rate at
   * which work arrives counts it, since its caller needs the capacity all the same.
   * @param spec - The job.
   * @param search - Search in which no home had the job; absent if there was none.
   * @returns Resolves with nothing once the job is stored; or with the search that has to come
   * first, and nothing is stored.
   * @throws RattanliftError If the job was not stored and never will be, or if the home has been
   * replaced meanwhile.
   */
  async submit(spec: DurableJobSpec, search?: PoolSearch): Promise<PoolSearch | undefined> {
    const { moves, table } = this.options;
    const { jobId, organisation, terms } = spec;
    if (table.get(jobId) === undefined) {
      const neededSearch = await moves.register(terms);
      if (!covers(search, neededSearch)) return neededSearch;
    }
    // Another submission, or a later pool of the queue, may have come meanwhile.
    const known = table.get(jobId);
    if (known === undefined) {
      moves.assertOpen(terms);
      await this.store(spec);
    } else {
      await this.whenStored(known, { organisation, queue: terms });
    }
    return undefined;
  }

  /**
   * Finds a job for a later pool of its queue. The queue is closed here before a job is denied.
   * @param sought - The job, and the queue as the later pool has it.
   * @returns Whether the job is stored here.
   * @throws RattanliftError Of kind `request-id-reused` if another organisation's job has the id,
   * or if this home has been replaced.
   */
  async find({ jobId, organisation, queue }: SoughtJob): Promise<boolean> {
    const { moves, table } = this.options;
    if (table.get(jobId) === undefined) await moves.close(queue);
    const known = table.get(jobId);
    if (known === undefined) return false;
    await this.whenStored(known, { organisation, queue });
    return true;
  }

  private async whenStored(known: TrackedJob, caller: JobCaller): Promise<void> {
    if (!isVisibleTo(known, caller)) throwError('request-id-reused', 'The job id is taken.');
    // The first submission may still wait for a round, so only a round after it tells.
    await this.options.flush();
  }

  private async store(spec: DurableJobSpec): Promise<void> {
    const { admission, arrivals, clock, flush, maxRecordBytes, runs, table, writer } = this.options;
    const { jobId, terms } = spec;
    if (writer.isStalled) throwError('log-unavailable', 'The store does not answer.');
    const row = createStorableJob({ ...spec, submittedAtMs: clock.wallMs() }, maxRecordBytes);
    this.assertHasRoom(spec);
    arrivals.get(terms.pool).record(runs.runTimes.estimateRemainingWork(row));
    admission.admit(row);
    table.add(row);
    try {
      await flush();
    } catch (thrown) {
      table.remove(jobId);
      throw thrown;
    }
  }

  /** Throws if the home's jobs would have more tasks than the memory of an instance holds. */
  private assertHasRoom(spec: DurableJobSpec): void {
    const taskCount = this.options.table.countOccurrenceTasks() + countOccurrenceTasks(spec);
    if (taskCount <= MAX_HOME_TASKS) return;
    throwError('no-capacity', `The jobs of a home may have ${MAX_HOME_TASKS} tasks at a time.`);
  }
}
