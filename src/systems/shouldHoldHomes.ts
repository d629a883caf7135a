/** Capacity of an instance for holding the homes of pools. */
export interface HomeCapacity {
  /** Processor capacity that the instance may use, in cores. */
  readonly coreCount: number;
  /** Bandwidth of its network link, in megabits per second. */
  readonly linkMbps: number;
}

/** Input of {@link shouldHoldHomes}. */
export interface ShouldHoldHomesInput {
  readonly own: HomeCapacity;
  /** Capacities of the other instances that hold partitions, or have announced that they could. */
  readonly others: readonly HomeCapacity[];
  /** Whether this instance holds partitions now, or waits for some. */
  readonly isMember: boolean;
  /** Whether no home has answered for a while. */
  readonly areHomesSilent: boolean;
}

/** Factor of processor capacity from which another instance counts as larger. */
const LARGER_CORE_RATIO = 2;
/** Larger instances that must hold partitions before a small one leaves: two may fail at once. */
const LARGER_COUNT_TO_LEAVE = 3;
/** Larger instances below which a small one takes part again. */
const LARGER_COUNT_TO_STAY_AWAY = 2;

/**
 * Tells whether an instance is so much larger than another that the other leaves the homes to it.
 * @param instance - The instance.
 * @param other - The other instance.
 * @returns Whether it has at least {@link LARGER_CORE_RATIO} times the cores, and no slower a link.
 */
export function isLarger(instance: HomeCapacity, other: HomeCapacity): boolean {
  return (
    instance.coreCount >= LARGER_CORE_RATIO * other.coreCount && instance.linkMbps >= other.linkMbps
  );
}

/**
 * Decides whether an instance takes part in holding the homes of pools.
 *
 * Guards against overloaded homes in fleets of instances of different size. The platform assigns
 * partitions evenly: five busy homes were held by instances with a link of 10 Mbit/s, which their
 * targets' reports alone fill under high load, while instances with four times the processor
 * capacity and 20 times the bandwidth were idle. So a small instance leaves the homes to larger
 * ones while several of these hold partitions, and takes part again when they are few or no home
 * answers. If all instances are alike, all take part.
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
