import {
  cancelJob,
  type DurableJobRow,
  type DurableJobSpec,
  type DurableJobState,
  isFinished,
  type JobCaller,
  type PoolSearch,
} from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import type { QueuePools } from '../queues/index.js';
import type { KeyedRecord } from '../store/index.js';
import { JobAdmission, type JobAdmissionOptions } from './JobAdmission.js';
import { JobSubmissions, type SoughtJob } from './JobSubmissions.js';
import { QueueMoves } from './QueueMoves.js';
import type { RecordWriter } from './RecordWriter.js';

/** Options of {@link CallerJobs}. */
export interface CallerJobsOptions extends JobAdmissionOptions {
  readonly partition: number;
  readonly term: number;
  readonly writer: RecordWriter;
  readonly queuePools: QueuePools;
  /** Maximum size of a record, with its key, in bytes; no bound if absent. */
  readonly maxRecordBytes?: number;
  readonly events: EventLog;
  /** Places ready tasks and stores all changes. */
  readonly flush: () => Promise<void>;
}

/** The jobs of a home as callers submit, see and cancel them. */
export class CallerJobs {
  /** The queues of the home that operators move. */
  readonly moves: QueueMoves;

  private readonly options: CallerJobsOptions;

  private readonly admission: JobAdmission;

  private readonly submissions: JobSubmissions;

  /**
   * Creates the jobs of a home that has not read its partition yet.
   * @param options - The jobs, what runs of them, and the store.
   */
  constructor(options: CallerJobsOptions) {
    this.options = options;
    this.moves = new QueueMoves(options);
    this.admission = new JobAdmission(options);
    const { admission, moves } = this;
    this.submissions = new JobSubmissions({ ...options, admission, moves });
  }

  /**
   * Takes note that the home has its jobs.
   * @param records - All records of the partition.
   * @param rows - Its unfinished jobs.
   */
  handleLoaded(records: readonly KeyedRecord[], rows: readonly DurableJobRow[]): void {
    this.moves.restore(records, rows);
    this.admission.handleLoaded();
  }

  /** {@inheritDoc JobAdmission.listRefusingPools} */
  listRefusingPools(): ReadonlySet<string> {
    return this.admission.listRefusingPools();
  }

  /** {@inheritDoc JobSubmissions.submit} */
  submit(spec: DurableJobSpec, search?: PoolSearch): Promise<PoolSearch | undefined> {
    return this.submissions.submit(spec, search);
  }

  /** {@inheritDoc JobSubmissions.find} */
  find(sought: SoughtJob): Promise<boolean> {
    return this.submissions.find(sought);
  }

  /**
   * Gets the state of a job.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is, and on which queue.
   * @returns The state; undefined if there is no job here that the caller may see.
   */
  getState(jobId: string, caller: JobCaller): DurableJobState | undefined {
    const { table } = this.options;
    const job = table.getVisible(jobId, caller);
    return job && table.getShownState(jobId);
  }

  /**
   * Cancels a job unless it has ended.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is, and on which queue.
   * @returns Whether there is a job that the caller may see; resolves once the cancellation is
   * stored.
   * @throws RattanliftError If the cancellation could not be stored.
   */
  async cancel(jobId: string, caller: JobCaller): Promise<boolean> {
    const { clock, events, flush, runs, table, term } = this.options;
    if (table.getVisible(jobId, caller) === undefined) return false;
    const row = table.getActive(jobId);
    if (row !== undefined && !isFinished(row)) {
      table.put(cancelJob(row, clock.wallMs()));
      this.admission.handleCancelled();
      events.write('jobCancelled', { jobId, term, stateBefore: row.state });
    }
    await flush();
    runs.stopFinished();
    return true;
  }
}
