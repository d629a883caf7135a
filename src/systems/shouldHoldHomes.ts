/** What an instance can carry as the home of pools. */
export interface HomeCapacity {
  /** Processor that the instance may use, in cores. */
  readonly coreCount: number;
  /** Speed of its network link, in megabits a second. */
  readonly linkMbps: number;
}

/** What {@link shouldHoldHomes} decides over. */
export interface ShouldHoldHomesInput {
  readonly own: HomeCapacity;
  /** Capacities of the other instances that hold partitions, or have told that they could. */
  readonly others: readonly HomeCapacity[];
  /** Whether this instance holds partitions, or waits for some, at this moment. */
  readonly isMember: boolean;
  /** Whether no home has answered for a while. */
  readonly areHomesSilent: boolean;
}

/** How much larger another instance has to be to be left the work. */
const LARGER_FACTOR = 2;
/** Larger ones that have to hold partitions before a small one leaves: two may fail at once. */
const LARGER_COUNT_TO_LEAVE = 3;
/** Larger ones below which a small one comes back. */
const LARGER_COUNT_TO_STAY_AWAY = 2;

/**
 * Tells whether an instance can carry so much more than another that it is left the homes.
 * @param instance - The instance.
 * @param other - The other one.
 * @returns Whether it has a multiple of the processor, and no slower a link.
 */
export function isLarger(instance: HomeCapacity, other: HomeCapacity): boolean {
  return (
    instance.coreCount >= LARGER_FACTOR * other.coreCount && instance.linkMbps >= other.linkMbps
  );
}

/**
 * Decides whether an instance takes part in holding the homes of pools.
 *
 * Answers fleets of instances of different size: the platform shares partitions out evenly, so five
 * busy homes were held by instances with a link of 10 Mbit/s, whose targets' reports alone take
 * that in a rush, while instances with four times the processor and 20 times the link idled. A
 * small one leaves the work to larger ones as long as several hold partitions, and takes part again
 * once they are few or silent. Where all are alike, all take part.
 * @param input - The instance, the others, and whether homes answer.
 * @returns Whether it should hold partitions.
 */
export function shouldHoldHomes(input: ShouldHoldHomesInput): boolean {
  const { own, others, isMember, areHomesSilent } = input;
  if (areHomesSilent) return true;
  const larger = others.filter((other) => isLarger(other, own));
  const limit = isMember ? LARGER_COUNT_TO_LEAVE : LARGER_COUNT_TO_STAY_AWAY;
  return larger.length < limit;
}
