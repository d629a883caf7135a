/** What happened in one run of a fleet trace. */
export interface FleetOutcome {
  /** Time from the first drain to the last VM back; undefined where the wave did not finish. */
  readonly rollOutMs: number | undefined;
  /** Why the wave stopped itself; undefined where it did not. */
  readonly stopReason: string | undefined;
  /** VMs that a step was begun on. */
  readonly steppedVmCount: number;
  /** VMs that maintenance has broken. */
  readonly brokenVmCount: number;
  /** Steps whose start left the pool outside its budget. */
  readonly overBudgetStepCount: number;
  /** Time in which some pool had fewer accepting slots than it needs, summed over pools. */
  readonly belowNeededMs: number;
  /** Time in which some pool was outside its budget for whatever reason, summed over pools. */
  readonly outsideBudgetMs: number;
  /** VMs that changed pools: one move an adoption. */
  readonly moveCount: number;
  /** VM time held by pools, in hours. */
  readonly heldVmHours: number;
  /** VM time that the pools' needed slots amount to, in hours. */
  readonly neededVmHours: number;
  /** Least VM time that survives the loss of a rack, spread perfectly, in hours. */
  readonly boundVmHours: number;
  /** Most VMs that all pools held together at any time. */
  readonly peakHeldVmCount: number;
  /** Most VMs that each pool held at any time, summed. */
  readonly sumOfPeaksVmCount: number;
  readonly brokenPromises: readonly string[];
}
