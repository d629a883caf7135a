import type { LimitReport } from './LimitPart.js';
import type { OrganisationUse } from './OrganisationUse.js';

/** Load of one target of a pool. */
export interface TargetLoad {
  readonly targetId: string;
  /** Runs that are placed on the target, started or not. */
  readonly runCount: number;
  readonly longRunningCount: number;
  readonly usedCpuMillicores: number;
  readonly cpuMillicores: number;
  /** False if the target takes no tasks, as it is silent or leaves; absent if it takes them. */
  readonly takesTasks?: false;
}

/** CPU that waiting work of a priority asks for. */
export interface WaitingCpu {
  /** Priority of the work's queue; 0 is the highest. */
  readonly priority: number;
  /** Thousandths of a core. */
  readonly cpuMillicores: number;
}

/** Load and demand of a pool, as reported by its home. */
export interface PoolDemand {
  readonly pool: string;
  readonly targets: readonly TargetLoad[];
  /** CPU demand of waiting tasks that are ready to start, in thousandths of a core. */
  readonly waitingCpuMillicores: number;
  /** Part of it for work that is on time, by priority; absent if none waits. */
  readonly waitingByPriority?: readonly WaitingCpu[];
  /**
   * CPU that completes the arriving work and the backlog in time, in thousandths of a core,
   * including the allocations of long-running tasks.
   */
  readonly neededCpuMillicores: number;
  /** Part of the need for work too late for its objective, which yields to work on time. */
  readonly lateCpuMillicores: number;
  /** VMs without long-running tasks, for tasks that don't fit next to those of any target. */
  readonly wholeVmCount: number;
  /** Number of unfinished jobs. */
  readonly jobCount: number;
  /** What organisations use and wait for; absent if no job belongs to one. */
  readonly organisationUse?: readonly OrganisationUse[];
  /** What the home says to the parts of limits that it was given; absent if it was given none. */
  readonly limitReport?: LimitReport;
}

/**
 * Indexes the target loads of several pools.
 * @param demands - Demands of the pools.
 * @returns The loads by target id.
 */
export function indexLoads(demands: readonly PoolDemand[]): ReadonlyMap<string, TargetLoad> {
  return new Map(
    demands.flatMap(({ targets }) => targets.map((load) => [load.targetId, load] as const)),
  );
}
