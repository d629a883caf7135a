import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import { type PeerAddress, type PeerPort, type PeerReply, PeerRotation } from '../peers/index.js';
import type { GroupPort, PartitionOwner } from '../store/index.js';
import type { HomeCapacity } from '../systems/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link HomeDirectory}. */
export interface HomeDirectoryOptions {
  readonly groups: Pick<GroupPort, 'listOwners'>;
  readonly group: string;
  /** Id of this instance. */
  readonly instance: string;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Minimum time between two reads that calls request, in milliseconds: store calls are shared. */
const MIN_READ_GAP_MS = 150;
/** Longest wait for the group before a peer's query is answered, in milliseconds. */
const GROUP_WAIT_MS = 200;
/** Longest wait for a peer's reply, which callers wait for, in milliseconds; usually it takes 5. */
const PEER_REPLY_WAIT_MS = 400;

/** How long an announced member is known, in milliseconds: a few announcement intervals. */
const ANNOUNCEMENT_TTL_MS = 3_000;

const MEMBER_PATTERN = /^([^@]+)@([^:]+):(\d+)\/([\d.]+),([\d.]+)$/;

/** A member of the group, as encoded in its name. */
export interface GroupMember {
  readonly address: PeerAddress;
  readonly capacity: HomeCapacity;
}

/**
 * Formats the name of a group member, from which others read its address and capacity.
 * @param member - Address and capacity.
 * @returns The name.
 */
export function formatMember({ address, capacity }: GroupMember): string {
  const { instance, host, port } = address;
  return `${instance}@${host}:${port}/${capacity.coreCount},${capacity.linkMbps}`;
}

/**
 * Parses the name of a group member.
 * @param name - The name.
 * @returns Its address and capacity, or undefined if the name does not have this format.
 */
export function parseMember(name: string): GroupMember | undefined {
  const match = MEMBER_PATTERN.exec(name);
  if (match === null) return undefined;
  const [, instance, host, port, cores, linkMbps] = match as unknown as readonly string[];
  return {
    address: { instance: instance!, host: host!, port: Number(port) },
    capacity: { coreCount: Number(cores), linkMbps: Number(linkMbps) },
  };
}

/** Owners of partitions, and when they were read from the group. */
interface OwnersSnapshot {
  readonly rows: readonly PartitionOwner[];
  /** By the monotonic clock. */
  readonly readAtMs: number;
}

const EMPTY_SNAPSHOT: OwnersSnapshot = { rows: [], readAtMs: Number.NEGATIVE_INFINITY };

function parseOwners(rows: readonly PartitionOwner[]): ReadonlyMap<number, GroupMember> {
  const parsed = rows.flatMap(({ partition, member: name }): readonly [number, GroupMember][] => {
    const member = parseMember(name);
    return member === undefined ? [] : [[partition, member]];
  });
  return new Map(parsed);
}

/** Removes duplicate members; the last entry of each instance is kept. */
function removeDuplicates(members: readonly GroupMember[]): readonly GroupMember[] {
  return [...new Map(members.map((member) => [member.address.instance, member])).values()];
}

/**
 * Locates the home of each partition, according to the platform's group or to a peer that has read
 * from the group more recently.
 *
 * The store may reject calls of some entries while it serves others. Without the peers, such an
 * entry would call a replaced home for as long as that lasts, which shows as `jobTurnedAway` by an
 * instance that does not decide for the pool. Peers that the store serves know the new home.
 */
export class HomeDirectory {
  private readonly options: HomeDirectoryOptions;

  private owners: ReadonlyMap<number, GroupMember> = new Map();

  private latestSnapshot = EMPTY_SNAPSHOT;

  /** Members that have announced themselves, by instance, and when their announcements expire. */
  private readonly announced = new Map<
    string,
    { readonly member: GroupMember; readonly untilMs: number }
  >();

  /** When the last read ended, with or without an answer, by the monotonic clock. */
  private lastAttemptAtMs = Number.NEGATIVE_INFINITY;

  /** Whom to ask next among the other members. */
  private readonly rotation = new PeerRotation();

  private pendingRefresh: Promise<void> | undefined;

  private pendingGroupRead: Promise<boolean> | undefined;

  private readonly outage: OutageLog;

  /**
   * Creates an empty directory.
   * @param options - Group, peers and this instance.
   */
  constructor(options: HomeDirectoryOptions) {
    this.options = options;
    this.outage = new OutageLog({ events: options.events, lost: 'groupUnreachable' });
  }

  /**
   * Gets the home of a partition as of the last read.
   * @param partition - Number of the partition.
   * @returns Its address, or undefined if none is known.
   */
  get(partition: number): PeerAddress | undefined {
    return this.owners.get(partition)?.address;
  }

  /**
   * Lists the members that hold none of the given partitions and therefore have spare CPU.
   * @param partitions - Numbers of the partitions that cause work.
   * @returns Their addresses, without duplicates.
   */
  listIdleMembers(partitions: readonly number[]): readonly PeerAddress[] {
    const busy = new Set(
      partitions.map((partition) => this.owners.get(partition)?.address.instance),
    );
    return this.listMembers()
      .map(({ address }) => address)
      .filter(({ instance }) => !busy.has(instance));
  }

  /**
   * Lists the capacities of the members that hold partitions or have announced themselves, except
   * one.
   * @param excludedInstance - Id of the instance that is left out.
   * @returns The capacities of the others.
   */
  listCapacities(excludedInstance: string): readonly HomeCapacity[] {
    return removeDuplicates([...this.listAnnounced(), ...this.listMembers()])
      .filter(({ address }) => address.instance !== excludedInstance)
      .map(({ capacity }) => capacity);
  }

  /** Lists the announced members, after removing those whose announcements have expired. */
  private listAnnounced(): readonly GroupMember[] {
    const nowMs = this.options.clock.monotonicMs();
    [...this.announced]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([instance]) => this.announced.delete(instance));
    return [...this.announced.values()].map(({ member }) => member);
  }

  /**
   * Records a member that has announced itself. A name with another format is ignored.
   * @param name - Its name in the group.
   */
  addAnnouncedMember(name: string): void {
    const member = parseMember(name);
    if (member === undefined) return;
    const untilMs = this.options.clock.monotonicMs() + ANNOUNCEMENT_TTL_MS;
    this.announced.set(member.address.instance, { member, untilMs });
  }

  /**
   * Lists the members that hold partitions.
   * @returns The members, without duplicates.
   */
  listMembers(): readonly GroupMember[] {
    return removeDuplicates([...this.owners.values()]);
  }

  /**
   * Lists the addresses of the other members that hold partitions.
   * @returns The addresses, without duplicates.
   */
  listOtherMembers(): readonly PeerAddress[] {
    return this.listMembers()
      .map(({ address }) => address)
      .filter(({ instance }) => instance !== this.options.instance);
  }

  /**
   * Answers a peer's query for the owners, after reading the group if the last read is too old. It
   * queries no peers itself: two instances without an answer from the group would wait for each
   * other.
   * @returns The owners with the age of their read; a refusal if none were read yet.
   */
  async getOwnersReply(): Promise<PeerReply> {
    if (this.ageMs > MIN_READ_GAP_MS) await Promise.race([this.readGroup(), sleep(GROUP_WAIT_MS)]);
    const { rows, readAtMs } = this.latestSnapshot;
    if (readAtMs === EMPTY_SNAPSHOT.readAtMs) {
      return {
        type: 'refused',
        kind: 'home-unavailable',
        message: 'No partition owners were read yet.',
      };
    }
    return { type: 'homes', owners: rows, ageMs: this.ageMs };
  }

  /** Reads the owners unless they were read recently; without an answer, the old ones are kept. */
  refresh(): Promise<void> {
    const { clock } = this.options;
    if (clock.monotonicMs() - this.lastAttemptAtMs < MIN_READ_GAP_MS) return Promise.resolve();
    this.pendingRefresh ??= this.read().finally(() => {
      this.pendingRefresh = undefined;
    });
    return this.pendingRefresh;
  }

  /** Time since this instance or a peer read the owners from the group. */
  private get ageMs(): number {
    return this.options.clock.monotonicMs() - this.latestSnapshot.readAtMs;
  }

  private async read(): Promise<void> {
    if (!(await this.readGroup())) await this.askPeers();
    this.lastAttemptAtMs = this.options.clock.monotonicMs();
  }

  /** Reads the owners from the group, one read at a time; returns whether the group answered. */
  private readGroup(): Promise<boolean> {
    this.pendingGroupRead ??= this.listOwners().finally(() => {
      this.pendingGroupRead = undefined;
    });
    return this.pendingGroupRead;
  }

  private async listOwners(): Promise<boolean> {
    const { groups, group, clock } = this.options;
    try {
      const rows = await groups.listOwners(group);
      this.applySnapshot({ rows, readAtMs: clock.monotonicMs() });
      this.outage.noteSuccess();
      return true;
    } catch (thrown) {
      this.outage.noteFailure({ group, reason: String(thrown) });
      return false;
    }
  }

  private applySnapshot(snapshot: OwnersSnapshot): void {
    if (snapshot.readAtMs <= this.latestSnapshot.readAtMs) return;
    this.latestSnapshot = snapshot;
    this.owners = parseOwners(snapshot.rows);
  }

  /** Adopts owners that peers have read more recently; each attempt queries the next peers. */
  private async askPeers(): Promise<void> {
    const asked = this.rotation.takeNext(this.listOtherMembers());
    await Promise.all(asked.map((address) => this.askPeer(address)));
  }

  private async askPeer(address: PeerAddress): Promise<void> {
    const { peers, clock } = this.options;
    const askedAtMs = clock.monotonicMs();
    // A peer that does not reply is ignored; the connection to it logs its own failures.
    const reply = await peers
      .call(address, { type: 'list-homes' }, PEER_REPLY_WAIT_MS)
      .catch(() => undefined);
    if (reply?.type !== 'homes') return;
    this.applySnapshot({ rows: reply.owners, readAtMs: askedAtMs - reply.ageMs });
  }
}
