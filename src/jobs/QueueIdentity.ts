import type { QueueReference } from './DurableJobSpec.js';

/** What identifies a queue: its name, and the address under which callers reach it. */
export type QueueIdentity = Pick<QueueReference, 'queue' | 'address'>;

/**
 * Tells whether two identities are those of one queue: they have the same name or the same address,
 * since operators change either.
 * @param one - An identity.
 * @param other - Another one.
 * @returns Whether they are of one queue.
 */
export function isSameQueue(one: QueueIdentity, other: QueueIdentity): boolean {
  return one.queue === other.queue || (one.address !== undefined && one.address === other.address);
}
