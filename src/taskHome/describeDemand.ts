import { type DurableJobRow, isFinished } from '../jobs/index.js';
import {
  countWholeVms,
  estimateNeededCpu,
  getAllocatedResources,
  listOrganisationUse,
  listWaitingByPriority,
  type Mechanisms,
  type PlacementTarget,
  type PoolDemand,
  type RunTimes,
  sumReadyCpu,
} from '../systems/index.js';
import { groupBy } from '../utils/index.js';

/** Input of {@link describeDemand}. */
export interface DescribeDemandInput {
  readonly pool: string;
  readonly rows: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  readonly countRuns: (targetId: string) => number;
  readonly runTimes: RunTimes;
  /**
   * CPU that is needed to keep up with arriving jobs once a VM that is ordered now is available, in
   * thousandths of a core.
   */
  readonly arrivingCpuMillicores: number;
  readonly mechanisms: Mechanisms;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

function sumCapacity(targets: readonly PlacementTarget[], pool: string): number {
  return targets
    .filter((target) => target.pool === pool && target.takesTasks)
    .reduce((sum, { capacity }) => sum + capacity.cpuMillicores, 0);
}

/**
 * Lists the targets of a pool. A home that hears none of them may be cut off itself: their silence
 * tells nothing then, and the home would ask for VMs for all that waits.
 */
function listTargets(
  targets: readonly PlacementTarget[],
  pool: string,
): readonly PlacementTarget[] {
  const ofPool = targets.filter((target) => target.pool === pool);
  const isAnyUsable = ofPool.some(({ takesTasks }) => takesTasks);
  return isAnyUsable ? ofPool : ofPool.map((target) => ({ ...target, takesTasks: true }));
}

/**
 * Describes the load of a pool and the work that waits for capacity in it.
 * @param input - Jobs and targets of the pool's home.
 * @returns Load and demand.
 */
export function describeDemand(input: DescribeDemandInput): PoolDemand {
  const { pool, rows, targets, countRuns, runTimes, nowMs } = input;
  const { arrivingCpuMillicores, mechanisms } = input;
  const poolRows = rows.filter((row) => row.spec.terms.pool === pool);
  const waitingCpuMillicores = sumReadyCpu(poolRows, nowMs);
  const placedTasks = poolRows.flatMap((row) =>
    row.tasks
      .filter(({ phase }) => phase === 'placed')
      .map(({ targetId, step }) => ({ targetId: targetId!, step: row.spec.steps[step]! })),
  );
  const waitingByPriority =
    waitingCpuMillicores === 0 ? [] : listWaitingByPriority(poolRows, runTimes, nowMs);
  const organisationUse = listOrganisationUse(poolRows, nowMs);
  const placedByTarget = groupBy(placedTasks, ({ targetId }) => targetId);
  const poolTargets = listTargets(targets, pool);
  return {
    pool,
    targets: poolTargets.map(({ targetId, capacity, takesTasks }) => {
      const tasksOnTarget = placedByTarget.get(targetId) ?? [];
      return {
        targetId,
        runCount: Math.max(tasksOnTarget.length, countRuns(targetId)),
        longRunningCount: tasksOnTarget.filter(({ step }) => step.isLongRunning).length,
        usedCpuMillicores: tasksOnTarget.reduce(
          (sum, { step }) => sum + getAllocatedResources(step).cpuMillicores,
          0,
        ),
        cpuMillicores: capacity.cpuMillicores,
        ...(takesTasks ? {} : { takesTasks }),
      };
    }),
    waitingCpuMillicores,
    ...(waitingByPriority.length === 0 ? {} : { waitingByPriority }),
    ...estimateNeededCpu({
      rows: poolRows,
      runTimes,
      capacityCpuMillicores: sumCapacity(targets, pool),
      arrivingCpuMillicores,
      nowMs,
      mechanisms,
    }),
    wholeVmCount: countWholeVms({
      rows: poolRows,
      targets: poolTargets,
      runTimes,
      nowMs,
    }),
    jobCount: poolRows.filter((row) => !isFinished(row)).length,
    ...(organisationUse.length === 0 ? {} : { organisationUse }),
  };
}
