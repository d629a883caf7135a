/** Rate of the slowest clock that the platform's bounds allow a target: 2 % slow. */
export const SLOWEST_TARGET_CLOCK_RATE = 0.98;
/** Margin after the end of a lease until its target counts as empty, in milliseconds. */
export const LAPSE_MARGIN_MS = 300;
/** Share of a lease for which a home goes on renewing without the group. */
const EXTENSION_SHARE = 0.4;
/**
 * Share of a lease by which the last one ends later than a lease after the group's confirmation:
 * as long as two usual renewals of the membership, so that fresh confirmations cost nothing.
 */
const CONFIRMATION_SHARE = 0.15;

/** Time for the next home to be assigned, to claim and to renew its targets, in milliseconds. */
const TAKEOVER_MS = 1_200;

/**
 * Computes how long a home renews the leases of its targets after the group has confirmed it. What
 * it grants in that time ends by {@link getLongestGrantMs} all the same.
 * @param leaseMs - Length of the leases, in milliseconds.
 * @returns The time, in milliseconds.
 */
export function getLeaseExtensionMs(leaseMs: number): number {
  return leaseMs * EXTENSION_SHARE;
}

/**
 * Computes by when everything ends that a home grants, counted on the clock of a target from the
 * sending of the latest renewal that the group has confirmed.
 *
 * Guards against a task that runs twice: a home that the store does not answer cannot learn that it
 * was replaced, and the next one may claim the partition right after that renewal. It claims it
 * after the sending in any case, and waits for as long as this from its claim.
 * @param leaseMs - Length of the leases, in milliseconds.
 * @returns The time, in milliseconds.
 */
export function getLongestGrantMs(leaseMs: number): number {
  return leaseMs * (1 + CONFIRMATION_SHARE);
}

/**
 * Computes how long a grant may last that is made now.
 * @param leaseMs - Length of the leases, in milliseconds.
 * @param confirmationAgeMs - Time since the latest renewal was sent that the group has confirmed.
 * @returns The time on the target's clock, in milliseconds; not above 0 if nothing may be granted.
 */
export function getGrantMs(leaseMs: number, confirmationAgeMs: number): number {
  return Math.min(leaseMs, getLongestGrantMs(leaseMs) - confirmationAgeMs);
}

/**
 * Computes how long after its claim a home counts the leases of earlier homes as valid.
 * @param leaseMs - Length of the leases, in milliseconds.
 * @returns The time, in milliseconds, by the slowest clock of a target.
 */
export function getInheritedLeaseMs(leaseMs: number): number {
  return getLongestGrantMs(leaseMs) / SLOWEST_TARGET_CLOCK_RATE;
}

/**
 * Computes how long a membership may last without a renewal, so that the next home can renew the
 * leases before they end.
 * @param leaseMs - Length of the leases, in milliseconds.
 * @returns The time, in milliseconds.
 */
export function getLongestMembershipMs(leaseMs: number): number {
  return getLongestGrantMs(leaseMs) - TAKEOVER_MS;
}
