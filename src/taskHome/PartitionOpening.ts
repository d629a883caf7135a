import { randomInt } from 'node:crypto';
import { z } from 'zod';
import {
  decodeJobRecord,
  type DurableJobRow,
  type DurableJobSpec,
  type EndedJob,
  type JobProgress,
  type JobRecord,
  restoreJobRow,
} from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import {
  decodeRecordValue,
  encodeRecordValue,
  KeyedFollower,
  type KeyedLogPort,
  type KeyedRecord,
} from '../store/index.js';
import { decodeReadable } from './decodeReadable.js';

/** Key under which a partition keeps the term of its home. */
const TERM_KEY = 'term';
/** Producer name under which homes append; the store fences earlier terms of the same producer. */
export const HOME_PRODUCER = 'home';
const APPEND_TIMEOUT_MS = 1_000;
/** A read at the end of a partition returns at once. */
const NO_WAIT_MS = 0;
/** Exclusive limit of the random first append number: two openings collide once in a billion. */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

const termSchema = z.looseObject({ term: z.int().positive() });

/** State that a home takes over with its partition. */
export interface OpenedPartition {
  readonly term: number;
  /** Number of the append that opened the partition; later appends continue from it. */
  readonly sequence: number;
  readonly jobs: readonly DurableJobRow[];
  /** Finished jobs that have no tasks on targets. */
  readonly endedJobs: readonly EndedJob[];
  /** All records of the partition, including those that belong to no job. */
  readonly records: readonly KeyedRecord[];
}

/** Options of {@link PartitionOpening}. */
export interface PartitionOpeningOptions {
  readonly store: KeyedLogPort;
  readonly topic: string;
  readonly partition: number;
  /** Instance that becomes the home. */
  readonly instance: string;
  /** Whether the partition is still to be opened on this instance. */
  readonly isWanted: () => boolean;
  readonly events: EventLog;
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

function readTerm(records: readonly KeyedRecord[]): number {
  const record = records.find(({ key, value }) => key === TERM_KEY && value !== undefined);
  return record === undefined ? 0 : decodeRecordValue(termSchema, record).term;
}

/**
 * Makes an instance the home of a partition: reads the partition's jobs and raises the term.
 *
 * The record of the new term is appended only if the end offset of the partition has not moved
 * since the read. Otherwise an append of the earlier home in between could be missed, and a task
 * that it placed would run a second time. From then on the store rejects the earlier home by its
 * term.
 *
 * The number of the append is random. Two instances that read the partition at the same moment
 * would otherwise open it in the same term under the same number. The store would treat the second
 * append as a repeat of the first, both instances would be the home, and the records of each would
 * count as repeats of the other's.
 *
 * Records that were read are kept between attempts. On a slow link the pages of a partition take
 * seconds, and an attempt that started over after a lost page, or after an append of the earlier
 * home, would never complete: the partition would have no home.
 */
export class PartitionOpening {
  private readonly options: PartitionOpeningOptions;

  private readonly newestRecords = new Map<string, KeyedRecord>();

  private readonly follower: KeyedFollower;

  /**
   * Creates an opening that has read no records yet.
   * @param options - The partition, and the instance that opens it.
   */
  constructor(options: PartitionOpeningOptions) {
    this.options = options;
    this.follower = new KeyedFollower({
      ...options,
      onRecord: (record) => this.applyRecord(record),
    });
  }

  /** Number of current records that have been read so far. */
  get recordCount(): number {
    return this.newestRecords.size;
  }

  /**
   * Reads the missing records, and raises the term.
   * @returns Term and jobs, or undefined if the partition is no longer wanted or the append was
   * rejected; the caller decides on another attempt.
   * @throws Error If the store did not answer; the next attempt continues from here.
   */
  async attempt(): Promise<OpenedPartition | undefined> {
    await this.follower.read(NO_WAIT_MS);
    // If this instance lost the partition while it was reading, its higher term would fence the
    // home that has opened meanwhile, and the partition would have no home.
    if (!this.options.isWanted()) return undefined;
    const { store, topic, partition, instance } = this.options;
    const records = [...this.newestRecords.values()];
    const term = readTerm(records) + 1;
    const sequence = randomInt(FIRST_SEQUENCE_LIMIT);
    const result = await store.append({
      topic,
      partition,
      records: [{ key: TERM_KEY, value: encodeRecordValue({ term, instance }) }],
      fence: { producer: HOME_PRODUCER, term, sequence },
      expectedEndOffset: this.follower.endOffset!,
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    if (result.type !== 'appended') return undefined;
    const decoded = decodeReadable(records, decodeJobRecord, this.options);
    return { term, sequence, records, ...combineJobRecords(decoded, this.options) };
  }

  private applyRecord(record: KeyedRecord): void {
    if (record.value === undefined) this.newestRecords.delete(record.key);
    else this.newestRecords.set(record.key, record);
  }
}
