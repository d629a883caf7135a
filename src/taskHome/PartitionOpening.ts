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
/** Role under which homes append; the store fences earlier terms of the same role. */
export const HOME_PRODUCER = 'home';
const APPEND_TIMEOUT_MS = 1_000;
/** A reading at the end of a partition is answered at once. */
const NO_WAIT_MS = 0;
/** First numbers of appends are drawn below this: two openings share one once in a billion. */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

const termSchema = z.looseObject({ term: z.int().positive() });

/** What a home takes over with its partition. */
export interface OpenedPartition {
  readonly term: number;
  /** Number of the append that opened it; later ones follow. */
  readonly sequence: number;
  readonly jobs: readonly DurableJobRow[];
  /** Jobs of which nothing runs any more. */
  readonly endedJobs: readonly EndedJob[];
  /** All records of the partition, for what else is kept there. */
  readonly records: readonly KeyedRecord[];
}

/** Options of {@link PartitionOpening}. */
export interface PartitionOpeningOptions {
  readonly store: KeyedLogPort;
  readonly topic: string;
  readonly partition: number;
  /** Instance that becomes the home. */
  readonly instance: string;
  /** Whether the partition still is to be opened here. */
  readonly isWanted: () => boolean;
  readonly events: EventLog;
}

/** A job whose progress cannot be read begins anew: dropped, it would be lost to its caller. */
function restoreOrLog(
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
 * Joins the records of each job.
 *
 * Guards against a job that begins anew after its end: the specification is dropped in an append
 * after the one that holds the end, and a home may open between the two. The end goes first.
 */
function joinRecords(
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
    .map((spec) => restoreOrLog(spec, progresses.get(spec.jobId), options))
    .toSorted((a, b) => a.spec.submittedAtMs - b.spec.submittedAtMs);
  return { jobs, endedJobs: [...ended.values()] };
}

function readTerm(records: readonly KeyedRecord[]): number {
  const record = records.find(({ key, value }) => key === TERM_KEY && value !== undefined);
  return record === undefined ? 0 : decodeRecordValue(termSchema, record).term;
}

/**
 * Becomes the home of a partition: reads its jobs and raises the term.
 *
 * The record of the new term is appended only where the partition still ends where it was read.
 * Otherwise an append of the earlier home could slip in between and be missed, and a task that it
 * placed would run a second time. From then on the store rejects the earlier home by its term.
 *
 * The append has a number drawn at random. Two instances that read the partition at the same moment
 * would else open it in the same term under the same number: the store would take the second for a
 * repeat of the first, both would be its home, and records of either would pass for repeats.
 *
 * What was read stays between attempts. Guards against a partition that nobody opens: on a narrow
 * link its pages take seconds, and an attempt that began anew after a lost page, or after an append
 * of the earlier home, would never come to its end.
 */
export class PartitionOpening {
  private readonly options: PartitionOpeningOptions;

  private readonly newest = new Map<string, KeyedRecord>();

  private readonly follower: KeyedFollower;

  /**
   * Creates an opening that has read nothing.
   * @param options - The partition, and who opens it.
   */
  constructor(options: PartitionOpeningOptions) {
    this.options = options;
    this.follower = new KeyedFollower({ ...options, onRecord: (record) => this.take(record) });
  }

  /** Count of the records that have been read so far. */
  get recordCount(): number {
    return this.newest.size;
  }

  /**
   * Reads what is missing, and raises the term.
   * @returns Term and jobs, or undefined where something came between and it has to be tried again.
   * @throws Error Where the store did not answer; the next attempt continues from here.
   */
  async attempt(): Promise<OpenedPartition | undefined> {
    await this.follower.read(NO_WAIT_MS);
    // Guards against an instance that lost the partition while it read: its higher term would fence
    // the home that has opened meanwhile, and nobody would be the home after it.
    if (!this.options.isWanted()) return undefined;
    const { store, topic, partition, instance } = this.options;
    const records = [...this.newest.values()];
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
    return { term, sequence, records, ...joinRecords(decoded, this.options) };
  }

  private take(record: KeyedRecord): void {
    if (record.value === undefined) this.newest.delete(record.key);
    else this.newest.set(record.key, record);
  }
}
