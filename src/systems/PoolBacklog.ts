import { type DurableJobRow, isFinished } from '../jobs/index.js';
import { memoizeByObject } from '../utils/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import { type GetWeight, getShareWeight } from './orderByShare.js';
import type { RunTimes } from './RunTimes.js';
import { getAllocatedResources } from './TargetCapacity.js';

/** Work of one organisation at one priority, in thousandths of a core times milliseconds. */
interface ShareWork {
  readonly organisation: string | undefined;
  /** Remaining work of jobs that have begun; it precedes all work that waits. */
  started: number;
  waiting: number;
}

/** Work of the jobs of one standing, by organisation. */
type WorkByShare = Map<string | undefined, ShareWork>;

/** Options of {@link PoolBacklog}. */
export interface PoolBacklogOptions {
  readonly runTimes: RunTimes;
  readonly getWeight: GetWeight;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Work that is placed before an arriving job, in thousandths of a core times milliseconds. */
export interface WorkAhead {
  /** If the job is placed while it can meet its objective. */
  readonly onTime: number;
  /** If it is placed only once it is late, and all that is on time has precedence. */
  readonly late: number;
}

/** Share of a placed task's work that remains on average. */
const REMAINING_SHARE = 0.5;

/** Tasks of a step that are not done. */
interface TaskCounts {
  readonly placed: number;
  readonly waiting: number;
}

const countTasks = memoizeByObject(({ spec, tasks }: DurableJobRow): readonly TaskCounts[] =>
  spec.steps.map((_step, index) => {
    const own = tasks.filter(({ step }) => step === index);
    return {
      placed: own.filter(({ phase }) => phase === 'placed').length,
      waiting: own.filter(({ phase }) => phase === 'waiting').length,
    };
  }),
);

function countReadyTasks(ready: readonly ReadyTasks[], step: number): number {
  return ready
    .filter((group) => group.step === step)
    .reduce((sum, { positions }) => sum + positions.length, 0);
}

function sumWork(shares: WorkByShare): number {
  return [...shares.values()].reduce((sum, { started, waiting }) => sum + started + waiting, 0);
}

function sumStartedWork(shares: WorkByShare): number {
  return [...shares.values()].reduce((sum, { started }) => sum + started, 0);
}

function sumBefore(byPriority: ReadonlyMap<number, WorkByShare>, priority: number): number {
  return [...byPriority]
    .filter(([other]) => other < priority)
    .reduce((sum, [, shares]) => sum + sumWork(shares), 0);
}

/**
 * Unfinished work of one pool, by what decides on the order of placement: whether the job is late,
 * its priority, whether it has begun, and its organisation. It is derived from the jobs alone.
 */
export class PoolBacklog {
  private readonly options: PoolBacklogOptions;

  private readonly onTime = new Map<number, WorkByShare>();

  private readonly late = new Map<number, WorkByShare>();

  /** CPU of long-running tasks, which no other job gets, in thousandths of a core. */
  private longRunningMillicores = 0;

  /**
   * Sums up the work of jobs.
   * @param rows - Jobs of the pool; finished ones do not count.
   * @param options - Run times, weights of organisations, and the present time.
   */
  constructor(rows: readonly DurableJobRow[], options: PoolBacklogOptions) {
    this.options = options;
    rows.forEach((row) => this.add(row));
  }

  /** CPU of long-running tasks, in thousandths of a core. */
  get longRunningCpuMillicores(): number {
    return this.longRunningMillicores;
  }

  /** All work, in thousandths of a core times milliseconds. */
  get totalWork(): number {
    return [...this.onTime.values(), ...this.late.values()]
      .map(sumWork)
      .reduce((sum, work) => sum + work, 0);
  }

  /**
   * Adds a job that has arrived since.
   * @param row - The job.
   */
  add(row: DurableJobRow): void {
    if (isFinished(row)) return;
    const { nowMs, runTimes } = this.options;
    const { organisation, terms } = row.spec;
    this.longRunningMillicores += PoolBacklog.sumLongRunningCpu(row);
    const isLate = nowMs > estimateStartByMs(row, runTimes);
    const byPriority = isLate ? this.late : this.onTime;
    const shares: WorkByShare = byPriority.get(terms.priority) ?? new Map();
    byPriority.set(terms.priority, shares);
    const share = shares.get(organisation) ?? { organisation, started: 0, waiting: 0 };
    shares.set(organisation, share);
    const work = this.estimateDueWork(row);
    if (row.state === 'queued') share.waiting += work;
    else share.started += work;
  }

  /**
   * Sums up the work that is placed before a job that arrives now: that of lower priority numbers,
   * that of jobs that have begun, and of the rest what the weights of the organisations put first.
   * So the work of one organisation does not count against another beyond their weights.
   * @param row - The job, which is not part of the backlog.
   * @returns The work in both cases.
   */
  sumAhead({ spec }: DurableJobRow): WorkAhead {
    const { organisation, terms } = spec;
    const onTime = this.sumAheadWithin(this.onTime, terms.priority, organisation);
    const allOnTime = [...this.onTime.values()].reduce((sum, shares) => sum + sumWork(shares), 0);
    const late = this.sumAheadWithin(this.late, terms.priority, organisation);
    return { onTime, late: allOnTime + late };
  }

  private static sumLongRunningCpu({ spec }: DurableJobRow): number {
    return spec.steps
      .filter((step) => step.isLongRunning)
      .map((step) => step.taskCount * getAllocatedResources(step).cpuMillicores)
      .reduce((sum, cpuMillicores) => sum + cpuMillicores, 0);
  }

  private sumAheadWithin(
    byPriority: ReadonlyMap<number, WorkByShare>,
    priority: number,
    organisation: string | undefined,
  ): number {
    const before = sumBefore(byPriority, priority);
    const shares = byPriority.get(priority);
    if (shares === undefined) return before;
    const { getWeight } = this.options;
    const own = shares.get(organisation);
    const ownWork = own === undefined ? 0 : own.started + own.waiting;
    const workPerWeight = ownWork / getShareWeight(organisation, getWeight);
    const waiting = [...shares.values()].map((share) => {
      const entitled = workPerWeight * getShareWeight(share.organisation, getWeight);
      return Math.min(share.waiting, Math.max(0, entitled - share.started));
    });
    return before + sumStartedWork(shares) + waiting.reduce((sum, work) => sum + work, 0);
  }

  /** Estimates the remaining work of a job, without occurrences that are not due. */
  private estimateDueWork(row: DurableJobRow): number {
    const { nowMs, runTimes } = this.options;
    const counts = countTasks(row);
    const ready = row.spec.schedule && listReadyTasks(row, nowMs);
    return row.spec.steps.reduce((sum, step, index) => {
      if (step.isLongRunning) return sum;
      const { placed, waiting } = counts[index]!;
      const due = ready === undefined ? waiting : countReadyTasks(ready, index);
      const taskWork = getAllocatedResources(step).cpuMillicores * runTimes.estimateMs(row, index);
      return sum + (REMAINING_SHARE * placed + due) * taskWork;
    }, 0);
  }
}
