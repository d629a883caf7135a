import { type DurableJobRow, isFinished } from '../jobs/index.js';
import {
  getOccupied,
  listReadyTasks,
  type PlacementTarget,
  type PoolDemand,
  type RunTimes,
} from '../systems/index.js';

/** What {@link describeDemand} looks at. */
export interface DescribeDemandInput {
  readonly pool: string;
  readonly rows: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  readonly countRuns: (targetId: string) => number;
  readonly runTimes: RunTimes;
  /** Processor that would keep up with what arrives, in thousandths of a core. */
  readonly arrivingCpuMillicores: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

function sumWaitingCpu(rows: readonly DurableJobRow[], nowMs: number): number {
  return rows
    .flatMap((row) =>
      listReadyTasks(row, nowMs).map(
        ({ step, positions }) =>
          positions.length * getOccupied(row.spec.steps[step]!).cpuMillicores,
      ),
    )
    .reduce((sum, cpuMillicores) => sum + cpuMillicores, 0);
}

/** Time in which work that has come should be done: objectives allow waits of one to two s. */
const BACKLOG_MS = 2_000;

function sumNeededCpu(rows: readonly DurableJobRow[], input: DescribeDemandInput): number {
  const open = rows.filter((row) => !isFinished(row));
  const longRunning = open.flatMap(({ spec, tasks }) =>
    tasks
      .map(({ step }) => spec.steps[step]!)
      .filter(({ isLongRunning }) => isLongRunning)
      .map((step) => getOccupied(step).cpuMillicores),
  );
  const backlog = open.reduce((sum, row) => sum + input.runTimes.estimateWork(row), 0);
  const occupied = longRunning.reduce((sum, cpuMillicores) => sum + cpuMillicores, 0);
  return occupied + backlog / BACKLOG_MS + input.arrivingCpuMillicores;
}

/**
 * Describes what a pool carries and what waits for room in it.
 * @param input - Jobs and targets of the pool's home.
 * @returns Load and demand.
 */
export function describeDemand(input: DescribeDemandInput): PoolDemand {
  const { pool, rows, targets, countRuns, nowMs } = input;
  const ofPool = rows.filter((row) => row.spec.terms.pool === pool);
  const placed = ofPool.flatMap((row) =>
    row.tasks
      .filter(({ phase }) => phase === 'placed')
      .map(({ targetId, step }) => ({ targetId, step: row.spec.steps[step]! })),
  );
  return {
    pool,
    targets: targets
      .filter((target) => target.pool === pool)
      .map(({ targetId, capacity }) => {
        const here = placed.filter((task) => task.targetId === targetId);
        return {
          targetId,
          runCount: Math.max(here.length, countRuns(targetId)),
          longRunningCount: here.filter(({ step }) => step.isLongRunning).length,
          usedCpuMillicores: here.reduce(
            (sum, { step }) => sum + getOccupied(step).cpuMillicores,
            0,
          ),
          cpuMillicores: capacity.cpuMillicores,
        };
      }),
    waitingCpuMillicores: sumWaitingCpu(ofPool, nowMs),
    neededCpuMillicores: sumNeededCpu(ofPool, input),
    jobCount: ofPool.filter((row) => !isFinished(row)).length,
  };
}
