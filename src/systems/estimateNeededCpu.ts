import { type DurableJobRow, isFinished } from '../jobs/index.js';
import { CATCH_UP_MS, LATE_CATCH_UP_MS } from './catchUpTimes.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { describeKnownWork, type KnownWork } from './describeKnownWork.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { VM_LEAD_MS } from './leadTimes.js';
import type { RunTimes } from './RunTimes.js';
import { getAllocatedResources } from './TargetCapacity.js';

/** Input of {@link estimateNeededCpu}. */
export interface NeededCpuInput {
  /** Jobs of one pool. */
  readonly rows: readonly DurableJobRow[];
  readonly runTimes: RunTimes;
  /** CPU of the pool's targets that accept tasks, in thousandths of a core. */
  readonly capacityCpuMillicores: number;
  /**
   * CPU that keeps up with the arriving work once a VM that is ordered now is available, in
   * thousandths of a core.
   */
  readonly arrivingCpuMillicores: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** Enabled mechanisms; all if absent. */
  readonly mechanisms?: Mechanisms;
}

/**
 * Time in which work that is behind its schedule is to be completed, in milliseconds: its jobs wait
 * half of it on average, and objectives allow 1 to 2 s.
 */
const BACKLOG_CATCH_UP_MS = 3_000;

/** CPU that a pool needs, in thousandths of a core. */
export interface NeededCpu {
  readonly neededCpuMillicores: number;
  /** Part of the need for work that is too late for its objective. */
  readonly lateCpuMillicores: number;
}

/** CPU of the tasks of several jobs, in thousandths of a core. */
interface TaskCpu {
  readonly longRunning: number;
  /** CPU of the placed tasks that are not long-running. */
  readonly placed: number;
}

function sumTaskCpu(rows: readonly DurableJobRow[]): TaskCpu {
  return rows
    .flatMap(({ spec, tasks }) => tasks.map((task) => ({ task, step: spec.steps[task.step]! })))
    .reduce<TaskCpu>(
      ({ longRunning, placed }, { task, step }) => {
        const { cpuMillicores } = getAllocatedResources(step);
        if (step.isLongRunning) return { longRunning: longRunning + cpuMillicores, placed };
        const isPlaced = task.phase === 'placed';
        return { longRunning, placed: placed + (isPlaced ? cpuMillicores : 0) };
      },
      { longRunning: 0, placed: 0 },
    );
}

/** CPU for jobs of a pool, in thousandths of a core, as far as {@link boundJobCpu} needs it. */
interface JobCpu {
  readonly arriving: number;
  /** Capacity for jobs, without long-running tasks. */
  readonly capacity: number;
}

/**
 * Limits the CPU for jobs to what can be used when a VM ordered now is available: by the known jobs
 * that are under way then, and by those that arrive until then. What arrives beyond the present
 * capacity waits, and is under way later for as long as it is then late.
 */
function boundJobCpu(needed: number, { arriving, capacity }: JobCpu, known: KnownWork): number {
  const arrivedShare = VM_LEAD_MS / Math.max(VM_LEAD_MS, known.meanChainMs);
  const waitingShare = VM_LEAD_MS / Math.max(1, known.meanChainMs);
  const waiting = Math.max(0, arriving - capacity) * waitingShare;
  return Math.min(needed, known.laterCpuMillicores + arriving * arrivedShare + waiting);
}

function sumWork(rows: readonly DurableJobRow[], runTimes: RunTimes): number {
  return rows.reduce((sum, row) => sum + runTimes.estimateRemainingWork(row), 0);
}

/**
 * Estimates the CPU that a pool needs when a VM ordered now becomes available: for its long-running
 * tasks, for arriving work, and for the backlog expected by then. The need is never less than the
 * CPU of running tasks that are on time. Late work gets only capacity that others don't need.
 *
 * Load peaks move from pool to pool. A backlog causes no need where the pool keeps up with it:
 * counted in full, it would keep idle VMs in a pool at the end of its peak, while the next pool
 * waits for VMs. A pool that does not keep up gets VMs before its queue grows.
 * @param input - Jobs and capacity of the pool, and the arriving work.
 * @returns The need, and the part of it that can wait.
 */
export function estimateNeededCpu(input: NeededCpuInput): NeededCpu {
  const { rows, runTimes, capacityCpuMillicores, arrivingCpuMillicores, nowMs } = input;
  const { mechanisms = ALL_MECHANISMS } = input;
  const unfinished = rows.filter((row) => !isFinished(row));
  const isLate = (row: DurableJobRow): boolean =>
    mechanisms.has('late-work-yields') && nowMs > estimateStartByMs(row, runTimes);
  const late = new Set(unfinished.filter(isLate));
  const onTime = unfinished.filter((row) => !late.has(row));
  const { longRunning } = sumTaskCpu(unfinished);
  const { placed } = sumTaskCpu(onTime);
  const backlog = sumWork(onTime, runTimes);
  const lateCpuMillicores = sumWork([...late], runTimes) / LATE_CATCH_UP_MS;
  const toNeed = (jobMillicores: number): NeededCpu => ({
    neededCpuMillicores: longRunning + lateCpuMillicores + Math.max(placed, jobMillicores),
    lateCpuMillicores,
  });
  if (!mechanisms.has('arriving-demand')) return toNeed(backlog / CATCH_UP_MS);
  const jobCpu: JobCpu = {
    arriving: arrivingCpuMillicores,
    capacity: Math.max(0, capacityCpuMillicores - longRunning),
  };
  const expectedBacklog = backlog + (jobCpu.arriving - jobCpu.capacity) * VM_LEAD_MS;
  if (!mechanisms.has('need-by-known-work')) {
    return toNeed(arrivingCpuMillicores + Math.max(0, expectedBacklog) / CATCH_UP_MS);
  }
  const known = describeKnownWork({ rows: onTime, runTimes, leadMs: VM_LEAD_MS, nowMs });
  // At a steady rate, jobs on schedule are on average half done; only the rest is behind.
  const scheduled = (arrivingCpuMillicores * known.meanChainMs) / 2;
  const catchUp = Math.max(0, expectedBacklog - scheduled) / BACKLOG_CATCH_UP_MS;
  return toNeed(boundJobCpu(arrivingCpuMillicores + catchUp, jobCpu, known));
}
