import type {
  AppendRequest,
  AppendResult,
  GroupAssignment,
  GroupPort,
  JoinRequest,
  KeyedLogPort,
  KeyedRecord,
  NewestRecords,
  PartitionOwner,
  ReadRequest,
  ReadResult,
} from '../../src/store/index.js';
import { LinkedCalls } from './LinkedCalls.js';
import type { NarrowLink } from './NarrowLink.js';

/** Body of a short request or answer, such as offsets or the name of a member, in bytes. */
const SHORT_BODY_BYTES = 100;
/** Fields of a record in a page of the newest records, without its key and value, in bytes. */
const PAGE_ROW_BYTES = 40;
/** Lengths of a raw record and of its key, in bytes. */
const RAW_ROW_BYTES = 5;
/** Timeouts of the platform's adapter, in milliseconds. */
const SHORT_TIMEOUT_MS = 1_200;
const PAGE_TIMEOUT_MS = 10_000;

/** Bytes that base64 makes of a group of three. */
const BASE64_GROUP_BYTES = 4;

const sum = (sizes: readonly number[]): number => sizes.reduce((total, size) => total + size, 0);

function measureRaw(records: readonly KeyedRecord[]): number {
  return sum(records.map(({ key, value }) => RAW_ROW_BYTES + key.length + (value?.length ?? 0)));
}

/**
 * Measures a record in a page of the newest records, which carries values in base64.
 * @param record - The record.
 * @returns Its size in bytes.
 */
export function measurePageRecord({ key, value }: KeyedRecord): number {
  const valueBytes = Math.ceil((value?.length ?? 0) / 3) * BASE64_GROUP_BYTES;
  return PAGE_ROW_BYTES + key.length + valueBytes;
}

/** An instance's way to the store over its link. */
export class LinkedStore implements KeyedLogPort, GroupPort {
  private readonly store: KeyedLogPort & GroupPort;

  private readonly calls: LinkedCalls;

  /**
   * Creates a way over a link.
   * @param store - The store at the other end.
   * @param link - The link of the instance.
   */
  constructor(store: KeyedLogPort & GroupPort, link: NarrowLink) {
    this.store = store;
    this.calls = new LinkedCalls(link);
  }

  /** {@inheritDoc KeyedLogPort.append} */
  append(request: AppendRequest): Promise<AppendResult> {
    return this.calls.call({
      requestBytes: measureRaw(request.records),
      run: () => this.store.append(request),
      measure: () => SHORT_BODY_BYTES,
      timeoutMs: request.timeoutMs,
    });
  }

  /** {@inheritDoc KeyedLogPort.readNewest} */
  readNewest(topic: string, partition: number, afterKey?: string): Promise<NewestRecords> {
    return this.calls.call({
      requestBytes: 0,
      run: () => this.store.readNewest(topic, partition, afterKey),
      measure: ({ records }) => SHORT_BODY_BYTES + sum(records.map(measurePageRecord)),
      timeoutMs: PAGE_TIMEOUT_MS,
    });
  }

  /** {@inheritDoc KeyedLogPort.readFrom} */
  readFrom(request: ReadRequest): Promise<ReadResult> {
    return this.calls.call({
      requestBytes: 0,
      run: () => this.store.readFrom(request),
      measure: (result) => (result.type === 'records' ? measureRaw(result.records) : 0),
      timeoutMs: request.waitMs + PAGE_TIMEOUT_MS,
    });
  }

  /** {@inheritDoc GroupPort.join} */
  join(request: JoinRequest): Promise<GroupAssignment> {
    return this.calls.call({
      requestBytes: SHORT_BODY_BYTES,
      run: () => this.store.join(request),
      measure: ({ partitions }) => SHORT_BODY_BYTES * (1 + partitions.length),
      timeoutMs: request.timeoutMs,
    });
  }

  /** {@inheritDoc GroupPort.leave} */
  leave(group: string, member: string): Promise<void> {
    return this.calls.call({
      requestBytes: SHORT_BODY_BYTES,
      run: () => this.store.leave(group, member),
      measure: () => 0,
      timeoutMs: SHORT_TIMEOUT_MS,
    });
  }

  /** {@inheritDoc GroupPort.listOwners} */
  listOwners(group: string): Promise<readonly PartitionOwner[]> {
    return this.calls.call({
      requestBytes: 0,
      run: () => this.store.listOwners(group),
      measure: (owners) => SHORT_BODY_BYTES * owners.length,
      timeoutMs: SHORT_TIMEOUT_MS,
    });
  }
}
