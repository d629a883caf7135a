import { setTimeout as sleep } from 'node:timers/promises';
import type {
  AppendRequest,
  AppendResult,
  GroupPort,
  GroupAssignment,
  JoinRequest,
  KeyedLogPort,
  KeyedRecord,
  NewestRecords,
  PartitionOwner,
  ReadRequest,
  ReadResult,
  StoredRecord,
} from '../../src/store/index.js';
import type { Clock } from '../../src/utils/index.js';
import { GroupStandIn } from './GroupStandIn.js';
import type { StoreFaults } from './StoreFaults.js';

const REMEMBERED_APPENDS = 5;
/** Readings at the end wait this long by default, so that a test sees changes soon. */
const LONGEST_WAIT_MS = 10;

interface Producer {
  readonly term: number;
  readonly sequence: number | undefined;
  /** Answers of the latest appends, which a repeat gets again. */
  readonly answers: ReadonlyMap<number, AppendResult>;
}

interface Partition {
  endOffset: number;
  firstOffset: number;
  records: StoredRecord[];
  readonly newest: Map<string, StoredRecord>;
  readonly producers: Map<string, Producer>;
}

/** Most that one page of the newest records holds. */
export interface PageLimit {
  readonly maxCount: number;
  readonly maxBytes: number;
  /** Measures a record in a page, in bytes. */
  readonly measure: (record: KeyedRecord) => number;
}

/** Options of {@link StoreStandIn}. */
export interface StoreStandInOptions {
  readonly partitionCount: number;
  /** Most records in one answer to a reading; absent means no limit. */
  readonly maxReadCount?: number;
  /** Most that one page of the newest records holds; absent means one page for all. */
  readonly maxPage?: PageLimit;
  /** Longest wait of a reading at the end, in milliseconds. */
  readonly longestWaitMs?: number;
  /** Clock by which members of groups expire; if absent, a test expires them itself. */
  readonly membershipClock?: Clock;
}

/** Stands in for the platform's store: keyed records, fenced appends and groups, in memory. */
export class StoreStandIn implements KeyedLogPort, GroupPort {
  readonly faults: StoreFaults = { rejects: false, isSilent: false, losesAnswers: false };

  /** Appends that were carried out. */
  appendCount = 0;

  private readonly partitions = new Map<string, Partition>();

  private readonly groups: GroupStandIn;

  private readonly maxReadCount: number;

  private readonly maxPage: PageLimit | undefined;

  private readonly longestWaitMs: number;

  /**
   * Creates an empty store.
   * @param options - Count of partitions of a topic, and how much one reading gives.
   */
  constructor(options: StoreStandInOptions) {
    const { partitionCount, maxReadCount, maxPage, longestWaitMs, membershipClock } = options;
    this.groups = new GroupStandIn(partitionCount, membershipClock);
    this.maxReadCount = maxReadCount ?? Infinity;
    this.maxPage = maxPage;
    this.longestWaitMs = longestWaitMs ?? LONGEST_WAIT_MS;
  }

  /** {@inheritDoc KeyedLogPort.append} */
  async append(request: AppendRequest): Promise<AppendResult> {
    this.throwIfSilent();
    if (this.faults.rejects) return { type: 'rejected', reason: 'fault' };
    const result = this.apply(request);
    if (this.faults.losesAnswers) throw new Error('The answer was lost.');
    return result;
  }

  /** {@inheritDoc KeyedLogPort.readNewest} */
  async readNewest(topic: string, partition: number, afterKey = ''): Promise<NewestRecords> {
    this.throwIfAway();
    const { newest, endOffset } = this.getPartition(topic, partition);
    const { maxPage } = this;
    if (maxPage === undefined) {
      return { records: [...newest.values()], endOffset, nextAfterKey: undefined };
    }
    const left = [...newest.keys()].filter((key) => key > afterKey).toSorted();
    const records = StoreStandIn.takePage(
      left.slice(0, maxPage.maxCount).map((key) => newest.get(key)!),
      maxPage,
    );
    const nextAfterKey = records.length < left.length ? records.at(-1)!.key : undefined;
    return { records, endOffset, nextAfterKey };
  }

  /** {@inheritDoc KeyedLogPort.readFrom} */
  async readFrom({
    topic,
    partition,
    fromOffset,
    waitMs,
    maxCount = Infinity,
  }: ReadRequest): Promise<ReadResult> {
    this.throwIfAway();
    const isAtEnd = fromOffset >= this.getPartition(topic, partition).endOffset;
    if (isAtEnd && waitMs > 0) await sleep(Math.min(waitMs, this.longestWaitMs));
    this.throwIfAway();
    const { records, firstOffset, endOffset } = this.getPartition(topic, partition);
    if (fromOffset < firstOffset) return { type: 'expired', firstOffset };
    const kept = records.filter(({ offset }) => offset >= fromOffset);
    const found = kept.slice(0, Math.min(maxCount, this.maxReadCount));
    const nextOffset = found.length < kept.length ? fromOffset + found.length : endOffset;
    return { type: 'records', records: found, nextOffset, endOffset };
  }

  /** {@inheritDoc GroupPort.join} */
  async join(request: JoinRequest): Promise<GroupAssignment> {
    this.throwIfAway();
    return this.groups.join(request);
  }

  /** {@inheritDoc GroupPort.leave} */
  async leave(group: string, member: string): Promise<void> {
    this.throwIfAway();
    this.groups.leave(group, member);
  }

  /** {@inheritDoc GroupPort.listOwners} */
  async listOwners(group: string): Promise<readonly PartitionOwner[]> {
    this.throwIfAway();
    return this.groups.listOwners(group);
  }

  /**
   * Lets a member's time to live end.
   * @param group - Name of the group.
   * @param member - Name of the member.
   */
  expireMember(group: string, member: string): void {
    this.groups.leave(group, member);
  }

  /** Forgets the history; the newest record of each key stays. */
  dropHistory(): void {
    this.partitions.forEach((partition) => {
      Object.assign(partition, { firstOffset: partition.endOffset, records: [] });
    });
  }

  /** Takes the records that fit into one page, one at least. */
  private static takePage(
    records: readonly StoredRecord[],
    { maxBytes, measure }: PageLimit,
  ): readonly StoredRecord[] {
    let pageBytes = 0;
    const firstBeyond = records.findIndex((record) => {
      pageBytes += measure(record);
      return pageBytes > maxBytes;
    });
    return firstBeyond < 0 ? records : records.slice(0, Math.max(1, firstBeyond));
  }

  private throwIfSilent(): void {
    if (this.faults.isSilent) throw new Error('The store did not answer.');
  }

  private throwIfAway(): void {
    this.throwIfSilent();
    if (this.faults.rejects) throw new Error('The store answered 503.');
  }

  private getPartition(topic: string, partition: number): Partition {
    const key = `${topic} ${partition}`;
    const known = this.partitions.get(key);
    if (known !== undefined) return known;
    const created: Partition = {
      endOffset: 0,
      firstOffset: 0,
      records: [],
      newest: new Map(),
      producers: new Map(),
    };
    this.partitions.set(key, created);
    return created;
  }

  private apply(request: AppendRequest): AppendResult {
    const partition = this.getPartition(request.topic, request.partition);
    const { fence } = request;
    const refusal = fence && StoreStandIn.checkFence(partition, fence);
    if (refusal !== undefined) return refusal;
    const result = this.add(partition, request);
    if (fence !== undefined) StoreStandIn.remember(partition, fence, result);
    return result;
  }

  private static checkFence(
    { producers }: Partition,
    { producer, term, sequence }: NonNullable<AppendRequest['fence']>,
  ): AppendResult | undefined {
    const known = producers.get(producer);
    if (known === undefined || term > known.term) return undefined;
    if (term < known.term) return { type: 'fenced' };
    const repeated = known.answers.get(sequence);
    if (repeated !== undefined) return repeated;
    const expectedSequence = (known.sequence ?? -1) + 1;
    return sequence === expectedSequence
      ? undefined
      : { type: 'out-of-sequence', expectedSequence };
  }

  private static remember(
    { producers }: Partition,
    { producer, term, sequence }: NonNullable<AppendRequest['fence']>,
    result: AppendResult,
  ): void {
    const known = producers.get(producer);
    const earlier = known?.term === term ? [...known.answers] : [];
    const answers = new Map([...earlier, [sequence, result] as const].slice(-REMEMBERED_APPENDS));
    producers.set(producer, { term, sequence, answers });
  }

  private add(partition: Partition, { records }: AppendRequest): AppendResult {
    const { newest, endOffset } = partition;
    const added = records.map((record, place) => ({ ...record, offset: endOffset + place }));
    added.forEach((record) => {
      if (record.value === undefined) newest.delete(record.key);
      else newest.set(record.key, record);
    });
    Object.assign(partition, {
      endOffset: endOffset + added.length,
      records: [...partition.records, ...added],
    });
    this.appendCount += 1;
    return { type: 'appended', endOffset: partition.endOffset };
  }
}
