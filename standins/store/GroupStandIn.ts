import type { Clock } from '../../src/utils/index.js';
import type { GroupAssignment, JoinRequest, PartitionOwner } from '../../src/store/index.js';

interface Member {
  /** Generation that the member has acted on. */
  readonly generation: number;
  /** When the member expires, by the monotonic clock. */
  readonly untilMs: number;
}

interface Group {
  generation: number;
  /** Members by name. */
  readonly members: Map<string, Member>;
  /** Holder of each partition; one that was asked to give it up holds it until it confirms. */
  readonly holders: Map<number, string>;
}

/** Groups of the stand-in store: even shares, given up before they are given on. */
export class GroupStandIn {
  private readonly partitionCount: number;

  private readonly clock: Clock | undefined;

  private readonly groups = new Map<string, Group>();

  /**
   * Creates a stand-in without groups.
   * @param partitionCount - Partitions of a topic.
   * @param expiry - Clock by which members expire that don't renew within their time to live; a
   * test expires them itself if it is absent.
   */
  constructor(partitionCount: number, expiry?: Clock) {
    this.partitionCount = partitionCount;
    this.clock = expiry;
  }

  /**
   * Joins a member or renews it.
   * @param request - Who joins what.
   * @returns The member's share.
   */
  join({ group: name, member, generation, ttlMs }: JoinRequest): GroupAssignment {
    this.expireMembers(name);
    const group = this.getGroup(name);
    if (!group.members.has(member)) group.generation += 1;
    group.members.set(member, { generation, untilMs: (this.clock?.monotonicMs() ?? 0) + ttlMs });
    this.handOver(group);
    const partitions = this.listPartitions().filter(
      (partition) =>
        group.holders.get(partition) === member &&
        GroupStandIn.wantedHolder(group, partition) === member,
    );
    return { generation: group.generation, partitions };
  }

  /**
   * Removes a member.
   * @param name - Name of the group.
   * @param member - Name of the member.
   */
  leave(name: string, member: string): void {
    const group = this.getGroup(name);
    group.members.delete(member);
    group.generation += 1;
    [...group.holders]
      .filter(([, holder]) => holder === member)
      .forEach(([partition]) => group.holders.delete(partition));
    this.handOver(group);
  }

  /**
   * Lists the holders.
   * @param name - Name of the group.
   * @returns Partitions and members.
   */
  listOwners(name: string): readonly PartitionOwner[] {
    this.expireMembers(name);
    return [...this.getGroup(name).holders].map(([partition, member]) => ({ partition, member }));
  }

  /** Removes the members that have sent nothing for their time to live. */
  private expireMembers(name: string): void {
    const nowMs = this.clock?.monotonicMs();
    if (nowMs === undefined) return;
    [...this.getGroup(name).members]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([member]) => this.leave(name, member));
  }

  private listPartitions(): readonly number[] {
    return Array.from({ length: this.partitionCount }, (_p, partition) => partition);
  }

  private getGroup(name: string): Group {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const created: Group = { generation: 0, members: new Map(), holders: new Map() };
    this.groups.set(name, created);
    return created;
  }

  private static wantedHolder(group: Group, partition: number): string | undefined {
    const members = [...group.members.keys()].toSorted();
    return members[partition % Math.max(1, members.length)];
  }

  private handOver(group: Group): void {
    this.listPartitions().forEach((partition) => {
      const holder = group.holders.get(partition);
      const wanted = GroupStandIn.wantedHolder(group, partition);
      if (wanted === undefined || holder === wanted) return;
      const { generation: confirmed = Infinity } = group.members.get(holder ?? '') ?? {};
      if (confirmed >= group.generation) group.holders.set(partition, wanted);
    });
  }
}
