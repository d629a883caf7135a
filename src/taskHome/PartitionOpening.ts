import { throwError } from '../errors/index.js';
import {
  decodeJobRecord,
  type DurableJobRow,
  type DurableJobSpec,
  type EndedJob,
  type JobProgress,
  type JobRecord,
  restoreJobRow,
} from '../jobs/index.js';
import {
  KeyedFollower,
  type KeyedLogPort,
  type KeyedRecord,
  type NewestRecords,
} from '../store/index.js';
import { decodeReadable } from './decodeReadable.js';
import { type ClaimedTerm, PartitionTerms, type PartitionTermsOptions } from './PartitionTerms.js';

/** State that a home takes over with its partition. */
export interface OpenedPartition {
  readonly jobs: readonly DurableJobRow[];
  /** Finished jobs that have no tasks on targets. */
  readonly endedJobs: readonly EndedJob[];
  /** All records of the partition, including those that belong to no job. */
  readonly records: readonly KeyedRecord[];
}

/** Options of {@link PartitionOpening}. */
export interface PartitionOpeningOptions extends PartitionTermsOptions {
  /** Store through which the records of the partition are read. */
  readonly pages: Pick<KeyedLogPort, 'readNewest' | 'readFrom'>;
}

/** Restores a job. One with unreadable progress starts over; otherwise its caller would lose it. */
function restoreOrRestart(
  spec: DurableJobSpec,
  progress: JobProgress | undefined,
  { partition, events }: PartitionOpeningOptions,
): DurableJobRow {
  try {
    return restoreJobRow(spec, progress);
  } catch (thrown) {
    events.write('recordUnreadable', { key: spec.jobId, partition, reason: String(thrown) });
    return restoreJobRow(spec, undefined);
  }
}

/**
 * Combines the records of each job.
 *
 * A stored end takes precedence over a specification. The specification is removed in a later
 * append than the one that stores the end, and a home that opens between the two would otherwise
 * start the ended job again.
 */
function combineJobRecords(
  records: readonly JobRecord[],
  options: PartitionOpeningOptions,
): Pick<OpenedPartition, 'jobs' | 'endedJobs'> {
  const specs = new Map<string, DurableJobSpec>();
  const progresses = new Map<string, JobProgress>();
  const ended = new Map<string, EndedJob>();
  records.forEach((record) => {
    if (record.type === 'spec') specs.set(record.jobId, record.spec);
    if (record.type === 'progress') progresses.set(record.jobId, record.progress);
    if (record.type === 'ended') ended.set(record.jobId, record.ended);
  });
  const jobs = [...specs.values()]
    .filter(({ jobId }) => !ended.has(jobId))
    .map((spec) => restoreOrRestart(spec, progresses.get(spec.jobId), options))
    .toSorted((a, b) => a.spec.submittedAtMs - b.spec.submittedAtMs);
  return { jobs, endedJobs: [...ended.values()] };
}

/**
 * Makes an instance the home of a partition: claims a term, then reads the partition's jobs.
 *
 * The claim comes first. It fences the earlier home, so that the partition no longer changes and a
 * read that begins afterwards misses nothing: a task placed by an append in between would run a
 * second time. And with the term, the leases of the targets can be renewed during the read, whose
 * length grows with the stored records.
 *
 * Records that were read are kept between attempts. On a slow link the pages of a partition take
 * seconds, and an attempt that started over after a lost page would never complete: the partition
 * would have no home.
 */
export class PartitionOpening {
  private readonly options: PartitionOpeningOptions;

  private readonly terms: PartitionTerms;

  private readonly newestRecords = new Map<string, KeyedRecord>();

  private readonly follower: KeyedFollower;

  /** The latest read; the next one begins after it, as both would use the same follower. */
  private latestRead: Promise<void> = Promise.resolve();

  private isCancelled = false;

  /**
   * Creates an opening that has read no records yet.
   * @param options - The partition, and the instance that opens it.
   */
  constructor(options: PartitionOpeningOptions) {
    this.options = options;
    this.terms = new PartitionTerms(options);
    this.follower = new KeyedFollower({
      ...options,
      store: {
        readNewest: (...page) => this.readPage(...page),
        readFrom: (request) => options.pages.readFrom(request),
      },
      onRecord: (record) => this.applyRecord(record),
    });
  }

  /** Number of current records that have been read so far. */
  get recordCount(): number {
    return this.newestRecords.size;
  }

  /**
   * Claims a new term of the partition, however many records it has.
   * @returns The term, or undefined if the partition is no longer wanted or another claim is
   * needed; the caller decides on it.
   * @throws Error If the store did not answer.
   */
  claim(): Promise<ClaimedTerm | undefined> {
    return this.terms.claim();
  }

  /**
   * Reads the missing records of the claimed partition.
   * @param claimed - The claim, after which the partition no longer changes.
   * @returns The jobs and the other records.
   * @throws Error If the store did not answer; the next call continues from here.
   */
  async read({ endOffset }: ClaimedTerm): Promise<OpenedPartition> {
    const read = this.latestRead.then(() => this.follower.readTo(endOffset));
    this.latestRead = read.catch(() => undefined);
    await read;
    const records = [...this.newestRecords.values()];
    const decoded = decodeReadable(records, decodeJobRecord, this.options);
    return { records, ...combineJobRecords(decoded, this.options) };
  }

  /** Ends the read after its current page; the partition is to be opened elsewhere. */
  cancel(): void {
    this.isCancelled = true;
  }

  /** Reads a page unless the partition has gone to another instance, which needs no more of it. */
  private async readPage(...page: Parameters<KeyedLogPort['readNewest']>): Promise<NewestRecords> {
    if (this.isCancelled) throwError('home-unavailable', 'The partition is elsewhere.');
    return this.options.pages.readNewest(...page);
  }

  private applyRecord(record: KeyedRecord): void {
    if (record.value === undefined) this.newestRecords.delete(record.key);
    else this.newestRecords.set(record.key, record);
  }
}
