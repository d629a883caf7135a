/** A member's part of a group at one generation. */
export interface GroupShare {
  /** Grows with each change of the group. */
  readonly generation: number;
  /** Partitions that belong to the member. */
  readonly partitions: readonly number[];
}

/** Which member holds a partition. */
export interface PartitionOwner {
  readonly partition: number;
  readonly member: string;
}

/** Joins a group, or renews the membership. */
export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: string;
  /** Silence after which the member loses its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** Generation of the share that the member acts on; 0 before the first one. */
  readonly generation: number;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Groups of the platform's log, which share out the partitions of a topic evenly among their
 * members. A partition that a member loses goes to another one once the member has joined with
 * the new generation, has left, or has been silent for its time to live.
 */
export interface GroupPort {
  /**
   * Joins a group or keeps the membership.
   * @param request - Who joins what.
   * @returns The member's share.
   * @throws Error Without an answer, or where the store rejects the call.
   */
  join(request: JoinRequest): Promise<GroupShare>;
  /**
   * Leaves a group; its partitions go to others at once.
   * @param group - Name of the group.
   * @param member - Name of the member.
   * @throws Error Without an answer.
   */
  leave(group: string, member: string): Promise<void>;
  /**
   * Lists which member holds which partition.
   * @param group - Name of the group.
   * @returns The owners; a partition between two owners is absent.
   * @throws Error Without an answer.
   */
  listOwners(group: string): Promise<readonly PartitionOwner[]>;
}
