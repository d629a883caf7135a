/** Lifetimes of targets that are over by the platform's list of VMs. */
export interface EndedTargets {
  /** Ids of all of them. */
  readonly endedTargets: readonly string[];
  /** Ids of those that crashed: that ended without an order. */
  readonly crashedTargets: readonly string[];
  /** Ids of those that crashed together with others of their rack. */
  readonly lostWithRack: readonly string[];
}
