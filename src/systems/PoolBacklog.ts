import { type DurableJobRow, isFinished } from '../jobs/index.js';
import { groupBy, memoizeByObject } from '../utils/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import { type GetWeight, getShareWeight } from './orderByShare.js';
import type { RunTimes } from './RunTimes.js';
import { getAllocatedResources } from './TargetCapacity.js';

/**
 * Work of the jobs that are alike in what decides on the order of placement, in thousandths of a
 * core times milliseconds.
 */
interface WorkGroup {
  readonly isLate: boolean;
  readonly priority: number;
  readonly organisation: string | undefined;
  /** Remaining work of jobs that have begun; it precedes the work that waits. */
  readonly started: number;
  readonly waiting: number;
}

/** Options of {@link PoolBacklog}. */
export interface PoolBacklogOptions {
  readonly runTimes: RunTimes;
  readonly getWeight: GetWeight;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Work that is placed before an arriving job, in thousandths of a core times milliseconds. */
export interface WorkAhead {
  /** If the job is placed while it can meet its objective, before all late work. */
  readonly onTime: number;
  /** If it is placed only once it is late, in turn with other late work. */
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

function sumStarted(groups: readonly WorkGroup[]): number {
  return groups.reduce((sum, { started }) => sum + started, 0);
}

function sumWaiting(groups: readonly WorkGroup[]): number {
  return groups.reduce((sum, { waiting }) => sum + waiting, 0);
}

function sumWork(groups: readonly WorkGroup[]): number {
  return sumStarted(groups) + sumWaiting(groups);
}

function sumLongRunningCpu({ spec }: DurableJobRow): number {
  return spec.steps
    .filter((step) => step.isLongRunning)
    .map((step) => step.taskCount * getAllocatedResources(step).cpuMillicores)
    .reduce((sum, cpuMillicores) => sum + cpuMillicores, 0);
}

/**
 * Unfinished work of one pool, by what decides on the order of placement: whether the job is late,
 * its priority, whether it has begun, and its organisation. It is derived from the jobs alone.
 */
export class PoolBacklog {
  private readonly options: PoolBacklogOptions;

  private readonly groups = new Map<string, WorkGroup>();

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
    return sumWork([...this.groups.values()]);
  }

  /**
   * Adds a job that has arrived since.
   * @param row - The job.
   */
  add(row: DurableJobRow): void {
    if (isFinished(row)) return;
    const { nowMs, runTimes } = this.options;
    const { organisation, terms } = row.spec;
    const { priority } = terms;
    const isLate = nowMs > estimateStartByMs(row, runTimes);
    const key = `${isLate}/${priority}/${organisation ?? ''}`;
    const { started, waiting } = this.groups.get(key) ?? { started: 0, waiting: 0 };
    const work = this.estimateDueWork(row);
    const isStarted = row.state !== 'queued';
    this.groups.set(key, {
      isLate,
      priority,
      organisation,
      started: started + (isStarted ? work : 0),
      waiting: waiting + (isStarted ? 0 : work),
    });
    this.longRunningMillicores += sumLongRunningCpu(row);
  }

  /**
   * Sums up the work that is placed before a job that arrives now: that of lower priority numbers,
   * that of jobs that have begun, and of the rest what the weights of the organisations put first.
   * So the work of one organisation does not count against another beyond their weights.
   * @param row - The job, which is not part of the backlog.
   * @returns The work in both cases.
   */
  sumAhead(row: DurableJobRow): WorkAhead {
    const all = [...this.groups.values()];
    const onTime = all.filter(({ isLate }) => !isLate);
    // By the time that the job is late, so is what is on time now and has not been placed.
    return { onTime: this.sumAheadWithin(onTime, row), late: this.sumAheadWithin(all, row) };
  }

  private sumAheadWithin(groups: readonly WorkGroup[], { spec }: DurableJobRow): number {
    const { organisation, terms } = spec;
    const { getWeight } = this.options;
    const before = groups.filter(({ priority }) => priority < terms.priority);
    const equal = groups.filter(({ priority }) => priority === terms.priority);
    const byOrganisation = groupBy(equal, (group) => group.organisation);
    const ownWork = sumWork(byOrganisation.get(organisation) ?? []);
    const workPerWeight = ownWork / getShareWeight(organisation, getWeight);
    const waiting = [...byOrganisation].map(([name, theirs]) => {
      const entitled = workPerWeight * getShareWeight(name, getWeight);
      return Math.min(sumWaiting(theirs), Math.max(0, entitled - sumStarted(theirs)));
    });
    return sumWork(before) + sumStarted(equal) + waiting.reduce((sum, work) => sum + work, 0);
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
