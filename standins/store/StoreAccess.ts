import type {
  AppendRequest,
  AppendResult,
  GroupPort,
  GroupAssignment,
  JoinRequest,
  KeyedLogPort,
  NewestRecords,
  PartitionOwner,
  ReadRequest,
  ReadResult,
} from '../../src/store/index.js';
import type { StoreStandIn } from './StoreStandIn.js';

/** One instance's way to the store of the stand-in, which can be cut while others have theirs. */
export class StoreAccess implements KeyedLogPort, GroupPort {
  /** Whether every call fails before it reaches the store. */
  isCut = false;

  private readonly store: StoreStandIn;

  /**
   * Creates a way that is open.
   * @param store - The store.
   */
  constructor(store: StoreStandIn) {
    this.store = store;
  }

  /** {@inheritDoc KeyedLogPort.append} */
  async append(request: AppendRequest): Promise<AppendResult> {
    return this.open().append(request);
  }

  /** {@inheritDoc KeyedLogPort.readNewest} */
  async readNewest(topic: string, partition: number, afterKey?: string): Promise<NewestRecords> {
    return this.open().readNewest(topic, partition, afterKey);
  }

  /** {@inheritDoc KeyedLogPort.readFrom} */
  async readFrom(request: ReadRequest): Promise<ReadResult> {
    return this.open().readFrom(request);
  }

  /** {@inheritDoc GroupPort.join} */
  async join(request: JoinRequest): Promise<GroupAssignment> {
    return this.open().join(request);
  }

  /** {@inheritDoc GroupPort.leave} */
  async leave(group: string, member: string): Promise<void> {
    return this.open().leave(group, member);
  }

  /** {@inheritDoc GroupPort.listOwners} */
  async listOwners(group: string): Promise<readonly PartitionOwner[]> {
    return this.open().listOwners(group);
  }

  private open(): StoreStandIn {
    if (this.isCut) throw new Error('The store turned this instance away.');
    return this.store;
  }
}
