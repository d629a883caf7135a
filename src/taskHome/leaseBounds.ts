/** Rate of the slowest clock that the platform's bounds allow a target: 2 % slow. */
export const SLOWEST_TARGET_CLOCK_RATE = 0.98;
/** Margin after the end of a lease until its target counts as empty, in milliseconds. */
export const LAPSE_MARGIN_MS = 300;
/** Share of a lease for which a home goes on without the group, as short outages are usual. */
const EXTENSION_GRACE_SHARE = 0.3;

/**
 * Computes how long a home extends the leases of its targets after the group may have given its
 * partition to another instance.
 *
 * A home that the store does not answer cannot learn that it was replaced. A target that the next
 * home does not reach would run on under it for good, and its tasks would run a second time
 * elsewhere. So such a home stops in time, and the next one waits for as long before it counts an
 * inherited lease as over.
 * @param leaseMs - Length of the leases, in milliseconds.
 * @returns The time, in milliseconds.
 */
export function getExtensionGraceMs(leaseMs: number): number {
  return leaseMs * EXTENSION_GRACE_SHARE;
}
