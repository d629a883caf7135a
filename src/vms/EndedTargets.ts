/** Lifetimes of targets that are over by the platform's list of VMs. */
export interface EndedTargets {
  /** Ids of all of them. */
  readonly endedTargets: readonly string[];
  /** Ids of those that crashed by themselves: without an order, and not with their whole rack. */
  readonly crashedTargets: readonly string[];
}
