/** Partitions that a group assigns to one member in one generation. */
export interface GroupAssignment {
  /** Increases with each change of the group. */
  readonly generation: number;
  /** Partitions that are assigned to the member. */
  readonly partitions: readonly number[];
}

/** Member that holds a partition. */
export interface PartitionOwner {
  readonly partition: number;
  readonly member: string;
}

/** Request to join a group or to renew a membership. */
export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: string;
  /** Time without a renewal after which the member loses its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** Generation of the assignment that the member uses; 0 before the first one. */
  readonly generation: number;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Groups of the platform's log. A group distributes the partitions of a topic evenly among its
 * members. A partition that a member loses is reassigned once the member has joined with the new
 * generation, has left, or has not renewed its membership within its time to live.
 */
export interface GroupPort {
  /**
   * Joins a group or renews the membership.
   * @param request - Group, member and topic.
   * @returns The member's assignment.
   * @throws Error If no answer arrives or the store rejects the call.
   */
  join(request: JoinRequest): Promise<GroupAssignment>;
  /**
   * Leaves a group. The member's partitions are reassigned at once.
   * @param group - Name of the group.
   * @param member - Name of the member.
   * @throws Error If no answer arrives.
   */
  leave(group: string, member: string): Promise<void>;
  /**
   * Lists the owners of the partitions.
   * @param group - Name of the group.
   * @returns The owners; a partition that is being reassigned is absent.
   * @throws Error If no answer arrives.
   */
  listOwners(group: string): Promise<readonly PartitionOwner[]>;
}
