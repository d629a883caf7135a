/** What a target of a pool carries. */
export interface TargetLoad {
  readonly targetId: string;
  /** Runs that are placed on it, started or not. */
  readonly runCount: number;
  readonly longRunningCount: number;
  readonly usedCpuMillicores: number;
  readonly cpuMillicores: number;
}

/** Load and demand of a pool, as its home sees them. */
export interface PoolDemand {
  readonly pool: string;
  readonly targets: readonly TargetLoad[];
  /** Processor that waiting tasks ask for whose turn has come, in thousandths of a core. */
  readonly waitingCpuMillicores: number;
  /**
   * Processor that would serve what arrives and what is left to do in time, in thousandths of a
   * core; long-running tasks count with what they occupy.
   */
  readonly neededCpuMillicores: number;
  /** The part of it for work that is too late for its objective, which yields to work in time. */
  readonly lateCpuMillicores: number;
  /** VMs without long-running tasks for tasks that fit beside those of no target. */
  readonly wholeVmCount: number;
  /** Unfinished jobs. */
  readonly jobCount: number;
}

/**
 * Finds the loads of targets over several pools.
 * @param demands - The pools.
 * @returns Loads by the ids of their targets.
 */
export function indexLoads(demands: readonly PoolDemand[]): ReadonlyMap<string, TargetLoad> {
  return new Map(
    demands.flatMap(({ targets }) => targets.map((load) => [load.targetId, load] as const)),
  );
}
