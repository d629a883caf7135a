import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import type { PeerAddress, PeerPort, PeerReply } from '../peers/index.js';
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

/** Least time between two readings that calls ask for, in milliseconds: store calls are shared. */
const ASKED_GAP_MS = 150;
/** Peers that are asked at once where the group does not answer: several may be cut off as well. */
const ASKED_PEER_COUNT = 3;
/** Longest wait for the group before a peer is told what is known, in milliseconds. */
const LOOK_WAIT_MS = 200;
/** Longest wait for a peer's reply, in milliseconds: usually 5, and callers wait for this one. */
const PEER_WAIT_MS = 400;

/** How long a member counts that has told of itself, in milliseconds: some times of telling. */
const ANNOUNCED_FOR_MS = 3_000;

const MEMBER_PATTERN = /^([^@]+)@([^:]+):(\d+)\/([\d.]+),([\d.]+)$/;

/** A member of the group, as its name tells. */
export interface GroupMember {
  readonly address: PeerAddress;
  readonly capacity: HomeCapacity;
}

/**
 * Names a member of the group so that others can reach it and know what it can carry.
 * @param member - Address and capacity.
 * @returns The name.
 */
export function formatMember({ address, capacity }: GroupMember): string {
  const { instance, host, port } = address;
  return `${instance}@${host}:${port}/${capacity.coreCount},${capacity.linkMbps}`;
}

/**
 * Reads a member's name.
 * @param name - The name.
 * @returns Its address and capacity, or undefined where the name is not of this form.
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

/** Owners of partitions, and when the group told them. */
interface OwnersReading {
  readonly rows: readonly PartitionOwner[];
  /** By the monotonic clock. */
  readonly readAtMs: number;
}

const NOTHING_READ: OwnersReading = { rows: [], readAtMs: Number.NEGATIVE_INFINITY };

function parseOwners(rows: readonly PartitionOwner[]): ReadonlyMap<number, GroupMember> {
  const known = rows.flatMap(({ partition, member: name }): readonly [number, GroupMember][] => {
    const member = parseMember(name);
    return member === undefined ? [] : [[partition, member]];
  });
  return new Map(known);
}

/** Lists the members of a list once each; the last one of an instance stands. */
function listOnce(members: readonly GroupMember[]): readonly GroupMember[] {
  return [...new Map(members.map((member) => [member.address.instance, member])).values()];
}

/**
 * Where the home of each partition is, as the platform's group tells it, or a peer that has heard
 * from the group since.
 *
 * Guards against entries that the store turns away while it serves others: a home that is replaced
 * meanwhile would be asked for as long as that lasts, which shows as `jobTurnedAway` by an instance
 * that does not decide for the pool. Peers that the store serves know the new one.
 */
export class HomeDirectory {
  private readonly options: HomeDirectoryOptions;

  private owners: ReadonlyMap<number, GroupMember> = new Map();

  private latest = NOTHING_READ;

  /** Members that have told of themselves, by instance, and until when they count. */
  private readonly announced = new Map<
    string,
    { readonly member: GroupMember; readonly untilMs: number }
  >();

  /** When the last reading ended, with or without an answer, by the monotonic clock. */
  private triedAtMs = Number.NEGATIVE_INFINITY;

  /** Place among the members of the peer that is asked next. */
  private nextPeer = 0;

  private reading: Promise<void> | undefined;

  private readingGroup: Promise<boolean> | undefined;

  private readonly outage: OutageLog;

  /**
   * Creates a directory that knows no home.
   * @param options - The group.
   */
  constructor(options: HomeDirectoryOptions) {
    this.options = options;
    this.outage = new OutageLog({ events: options.events, lost: 'groupUnreachable' });
  }

  /**
   * Gets the home of a partition as of the last reading.
   * @param partition - Number of the partition.
   * @returns Its address, or undefined where none is known.
   */
  get(partition: number): PeerAddress | undefined {
    return this.owners.get(partition)?.address;
  }

  /**
   * Lists the members that hold none of some partitions, so that they have processor to spare.
   * @param partitions - Numbers of the partitions that take work.
   * @returns Their addresses, each once.
   */
  listOthers(partitions: readonly number[]): readonly PeerAddress[] {
    const busy = new Set(
      partitions.map((partition) => this.owners.get(partition)?.address.instance),
    );
    return this.listMembers()
      .map(({ address }) => address)
      .filter(({ instance }) => !busy.has(instance));
  }

  /**
   * Lists the capacities of the members that hold partitions or have told of themselves, but for
   * one.
   * @param instance - The one that is left out.
   * @returns The capacity of each other.
   */
  listCapacities(instance: string): readonly HomeCapacity[] {
    return listOnce([...this.listAnnounced(), ...this.listMembers()])
      .filter(({ address }) => address.instance !== instance)
      .map(({ capacity }) => capacity);
  }

  /** Members that have told of themselves lately; the others are forgotten. */
  private listAnnounced(): readonly GroupMember[] {
    const nowMs = this.options.clock.monotonicMs();
    [...this.announced]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([instance]) => this.announced.delete(instance));
    return [...this.announced.values()].map(({ member }) => member);
  }

  /**
   * Takes note of a member that has told of itself.
   * @param name - Its name, as the group would tell it.
   */
  noteMember(name: string): void {
    const member = parseMember(name);
    if (member === undefined) return;
    const untilMs = this.options.clock.monotonicMs() + ANNOUNCED_FOR_MS;
    this.announced.set(member.address.instance, { member, untilMs });
  }

  /**
   * Lists the members that hold partitions.
   * @returns Each once.
   */
  listMembers(): readonly GroupMember[] {
    return listOnce([...this.owners.values()]);
  }

  /**
   * Tells a peer what this directory knows, after a look at the group. It asks no peers itself: two
   * that the group does not answer would wait for each other.
   * @returns The owners with the age of their reading; a refusal where there was none.
   */
  async tell(): Promise<PeerReply> {
    if (this.ageMs > ASKED_GAP_MS) await Promise.race([this.readGroup(), sleep(LOOK_WAIT_MS)]);
    const { rows, readAtMs } = this.latest;
    if (readAtMs === NOTHING_READ.readAtMs) {
      return { type: 'refused', kind: 'home-unavailable', message: 'No owners were read yet.' };
    }
    return { type: 'homes', owners: rows, ageMs: this.ageMs };
  }

  /** Reads the owners, unless that was done a moment ago; without an answer they stay. */
  refresh(): Promise<void> {
    const { clock } = this.options;
    if (clock.monotonicMs() - this.triedAtMs < ASKED_GAP_MS) return Promise.resolve();
    this.reading ??= this.read().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  /** Time since the group told the owners, to this instance or to a peer. */
  private get ageMs(): number {
    return this.options.clock.monotonicMs() - this.latest.readAtMs;
  }

  private async read(): Promise<void> {
    if (!(await this.readGroup())) await this.askPeers();
    this.triedAtMs = this.options.clock.monotonicMs();
  }

  /** Reads the owners from the group, once at a time; tells whether it has answered. */
  private readGroup(): Promise<boolean> {
    this.readingGroup ??= this.listOwners().finally(() => {
      this.readingGroup = undefined;
    });
    return this.readingGroup;
  }

  private async listOwners(): Promise<boolean> {
    const { groups, group, clock } = this.options;
    try {
      const rows = await groups.listOwners(group);
      this.take({ rows, readAtMs: clock.monotonicMs() });
      this.outage.noteSuccess();
      return true;
    } catch (thrown) {
      this.outage.noteFailure({ group, reason: String(thrown) });
      return false;
    }
  }

  private take(reading: OwnersReading): void {
    if (reading.readAtMs <= this.latest.readAtMs) return;
    this.latest = reading;
    this.owners = parseOwners(reading.rows);
  }

  /** Takes what peers have read later than this instance; each attempt asks other ones. */
  private async askPeers(): Promise<void> {
    const { instance } = this.options;
    const others = this.listMembers()
      .map(({ address }) => address)
      .filter((address) => address.instance !== instance);
    const turned = [...others.slice(this.nextPeer), ...others.slice(0, this.nextPeer)];
    this.nextPeer = (this.nextPeer + ASKED_PEER_COUNT) % Math.max(1, others.length);
    const asked = turned.slice(0, ASKED_PEER_COUNT);
    await Promise.all(asked.map((address) => this.askPeer(address)));
  }

  private async askPeer(address: PeerAddress): Promise<void> {
    const { peers, clock } = this.options;
    const askedAtMs = clock.monotonicMs();
    // A peer that does not reply says nothing; the connection to it logs its own failures.
    const reply = await peers
      .call(address, { type: 'list-homes' }, PEER_WAIT_MS)
      .catch(() => undefined);
    if (reply?.type !== 'homes') return;
    this.take({ rows: reply.owners, readAtMs: askedAtMs - reply.ageMs });
  }
}
