import { type DurableJobRow, isFinished } from '../jobs/index.js';
import { CATCH_UP_MS, LATE_CATCH_UP_MS } from './catchUpTimes.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import type { RunTimes } from './RunTimes.js';
import { getOccupied } from './TargetRoom.js';

/** What {@link estimateNeededCpu} decides over. */
export interface NeededCpuInput {
  /** Jobs of one pool. */
  readonly rows: readonly DurableJobRow[];
  readonly runTimes: RunTimes;
  /** Processor of the pool's targets that take tasks, in thousandths of a core. */
  readonly capacityCpuMillicores: number;
  /** Processor that would keep up with what arrives, in thousandths of a core. */
  readonly arrivingCpuMillicores: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** What is on; everything where it is absent. */
  readonly mechanisms?: Mechanisms;
}

/** Time from the order of a VM to its first task, in milliseconds: moving takes 1.5 s of it. */
const VM_LEAD_MS = 2_000;

/** What a pool needs, in thousandths of a core. */
export interface NeededCpu {
  readonly neededCpuMillicores: number;
  /** The part of it for work that is too late for its objective. */
  readonly lateCpuMillicores: number;
}

/** Processor of the tasks of some jobs, in thousandths of a core. */
interface TaskCpu {
  readonly longRunning: number;
  /** Of tasks that end by themselves and are given to targets. */
  readonly placed: number;
}

function sumTaskCpu(rows: readonly DurableJobRow[]): TaskCpu {
  return rows
    .flatMap(({ spec, tasks }) => tasks.map((task) => ({ task, step: spec.steps[task.step]! })))
    .reduce<TaskCpu>(
      ({ longRunning, placed }, { task, step }) => {
        const { cpuMillicores } = getOccupied(step);
        if (step.isLongRunning) return { longRunning: longRunning + cpuMillicores, placed };
        const isPlaced = task.phase === 'placed';
        return { longRunning, placed: placed + (isPlaced ? cpuMillicores : 0) };
      },
      { longRunning: 0, placed: 0 },
    );
}

function sumWork(rows: readonly DurableJobRow[], runTimes: RunTimes): number {
  return rows.reduce((sum, row) => sum + runTimes.estimateWork(row), 0);
}

/**
 * Estimates the processor that a pool needs by the time at which a VM ordered now is there: for its
 * long-running tasks, for what keeps arriving, and for the work that the pool will have left behind
 * by then. Never less than what runs in time; work that is too late waits for what others leave.
 *
 * Answers rushes that move on from pool to pool. Where a pool keeps up, what it has left to do asks
 * for nothing; counted in full, it kept ten idle VMs in a pool whose rush was nearly over while the
 * next one waited. Where it does not keep up, it gets VMs before its queue has grown.
 * @param input - Jobs and capacity of the pool, and what arrives.
 * @returns The need, and which part of it can wait.
 */
export function estimateNeededCpu(input: NeededCpuInput): NeededCpu {
  const { rows, runTimes, capacityCpuMillicores, arrivingCpuMillicores, nowMs } = input;
  const { mechanisms = ALL_MECHANISMS } = input;
  const open = rows.filter((row) => !isFinished(row));
  const isLate = (row: DurableJobRow): boolean =>
    mechanisms.has('late-work-yields') && nowMs > estimateStartByMs(row, runTimes);
  const late = new Set(open.filter(isLate));
  const timely = open.filter((row) => !late.has(row));
  const { longRunning } = sumTaskCpu(open);
  const { placed } = sumTaskCpu(timely);
  const backlog = sumWork(timely, runTimes);
  const lateCpuMillicores = sumWork([...late], runTimes) / LATE_CATCH_UP_MS;
  const toNeed = (forJobs: number): NeededCpu => ({
    neededCpuMillicores: longRunning + lateCpuMillicores + Math.max(placed, forJobs),
    lateCpuMillicores,
  });
  if (!mechanisms.has('arriving-demand')) return toNeed(backlog / CATCH_UP_MS);
  const shareForJobs = Math.max(0, capacityCpuMillicores - longRunning);
  const leftBehind = backlog + (arrivingCpuMillicores - shareForJobs) * VM_LEAD_MS;
  const catchUp = Math.max(0, leftBehind) / CATCH_UP_MS;
  return toNeed(arrivingCpuMillicores + catchUp);
}
