/** A takeover that is forced. */
export interface TakeoverCase {
  /** Pools, each of one partition, that one instance takes over at once. */
  readonly pools: readonly string[];
  /** Jobs that wait in each partition. */
  readonly jobCount: number;
  /** Width of the link of the instance that takes over. */
  readonly linkMbps: number;
  /** Share of that link that callers take. */
  readonly takenShare?: number;
  /** Most bytes that a transfer sends on it in one turn; all of them if absent. */
  readonly windowBytes?: number;
  /** Whether there is a third instance, whose link is wide. */
  readonly hasThird?: boolean;
  /** Targets of other services that the platform lists beside those of the pools. */
  readonly otherTargetCount?: number;
}
