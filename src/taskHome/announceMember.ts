import type { PeerPort } from '../peers/index.js';
import { isLarger } from '../systems/index.js';
import { formatMember, type GroupMember, type HomeDirectory } from './HomeDirectory.js';

/** Longest wait for a reply, in milliseconds; the next telling comes a second later. */
const REPLY_WAIT_MS = 400;

/** What {@link announceMember} works with. */
export interface AnnounceMemberOptions {
  /** The instance that tells of itself. */
  readonly member: GroupMember;
  readonly directory: HomeDirectory;
  readonly peers: PeerPort;
}

/**
 * Tells smaller instances that hold homes of a larger member that holds none.
 *
 * Guards against homes that stay on small instances for good: only members that hold a partition
 * are seen, and where there are fewer partitions than members chance may show too few larger ones.
 * It shows as jobs that take 0.5 s and more to be accepted, and as rushes that are served late.
 * @param options - The member, and where homes are.
 */
export async function announceMember(options: AnnounceMemberOptions): Promise<void> {
  const { member, directory, peers } = options;
  const holders = directory.listMembers();
  if (holders.some(({ address }) => address.instance === member.address.instance)) return;
  const request = { type: 'announce-member', member: formatMember(member) } as const;
  const smaller = holders.filter(({ capacity }) => isLarger(member.capacity, capacity));
  // One that does not reply is told again; the connection to it logs its own failures.
  await Promise.allSettled(
    smaller.map(({ address }) => peers.call(address, request, REPLY_WAIT_MS)),
  );
}
