import type { PeerPort } from '../peers/index.js';
import { isLarger } from '../systems/index.js';
import { formatMember, type GroupMember, type HomeDirectory } from './HomeDirectory.js';

/** Longest wait for a reply, in milliseconds; the next announcement follows a second later. */
const REPLY_WAIT_MS = 400;

/** Options of {@link announceMember}. */
export interface AnnounceMemberOptions {
  /** The instance that announces itself. */
  readonly member: GroupMember;
  readonly directory: HomeDirectory;
  readonly peers: PeerPort;
}

/**
 * Announces a member that holds no home to the smaller instances that hold homes.
 *
 * Without announcements, homes may stay on small instances permanently: only members that hold a
 * partition are visible, and with fewer partitions than members, too few larger ones may be among
 * them by chance. Jobs then take 0.5 s and more to be accepted, and load peaks are served late.
 * @param options - The member, and the directory of homes.
 */
export async function announceMember(options: AnnounceMemberOptions): Promise<void> {
  const { member, directory, peers } = options;
  const holders = directory.listMembers();
  if (holders.some(({ address }) => address.instance === member.address.instance)) return;
  const request = { type: 'announce-member', member: formatMember(member) } as const;
  const smallerHolders = holders.filter(({ capacity }) => isLarger(member.capacity, capacity));
  // An instance that does not reply gets the next announcement; its connection logs failures.
  await Promise.allSettled(
    smallerHolders.map(({ address }) => peers.call(address, request, REPLY_WAIT_MS)),
  );
}
