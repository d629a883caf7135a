import { nameTask } from '../jobs/index.js';
import type { EventFields, EventLog } from '../logging/index.js';
import {
  explainUnplaced,
  type OrganisationRooms,
  type PlacementTarget,
  UNPLACED_REASONS,
  type UnplacedExplanation,
  type UnplacedReason,
  type UnplacedTasks,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { TargetDrains } from './TargetDrains.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';

/** Options of {@link UnplacedLog}. */
export interface UnplacedLogOptions {
  readonly table: Pick<JobTable, 'listActive'>;
  readonly sessions: Pick<TargetSessions, 'listTracked'>;
  readonly runs: Pick<TaskRuns, 'isAvoided'>;
  readonly drains: Pick<TargetDrains, 'has'>;
  readonly events: EventLog;
  readonly partition: number;
  readonly term: number;
  /** Clock by which waits are measured. */
  readonly clock: Clock;
  /** Clock that determines which occurrences are due. */
  readonly dueClock: Clock;
}

/** Shortest time between two log lines of a home, in milliseconds. */
const INTERVAL_MS = 1_000;
/** Pause after a look, as a multiple of its duration: looks take at most 1 % of the time. */
const PAUSE_FACTOR = 100;

/** A ready task, and since when this home has known that it is not placed. */
interface WaitingTask {
  readonly taskName: string;
  readonly tasks: UnplacedTasks;
  readonly sinceMs: number;
}

/** Names of the counts of tasks, by the reason for which they wait. */
const COUNT_NAMES: Readonly<Record<UnplacedReason, string>> = {
  'no-target': 'noTargetCount',
  'none-takes-tasks': 'noneTakesTasksCount',
  'organisation-limit': 'organisationLimitCount',
  label: 'labelCount',
  room: 'roomCount',
  reserved: 'reservedCount',
  spread: 'spreadCount',
  gang: 'gangCount',
  fits: 'fitsCount',
};

function countTasks(unplaced: readonly UnplacedTasks[]): number {
  return unplaced.reduce((sum, { ready }) => sum + ready.positions.length, 0);
}

function countByReason(unplaced: readonly UnplacedTasks[]): EventFields {
  return Object.fromEntries(
    UNPLACED_REASONS.map((reason) => [
      COUNT_NAMES[reason],
      countTasks(unplaced.filter((tasks) => tasks.reason === reason)),
    ]),
  );
}

function findLongest(waiting: readonly WaitingTask[]): WaitingTask | undefined {
  return waiting.reduce<WaitingTask | undefined>(
    (longest, next) => (longest === undefined || next.sinceMs < longest.sinceMs ? next : longest),
    undefined,
  );
}

/** Logs why ready tasks of a home are not placed, at most once a second. */
export class UnplacedLog {
  private readonly options: UnplacedLogOptions;

  private nextAtMs = Number.NEGATIVE_INFINITY;

  /** Since when each waiting run has been known to wait, by its task and the number before it. */
  private sinceMs: ReadonlyMap<string, number> = new Map();

  /**
   * Creates a log that has seen no task yet.
   * @param options - The jobs and targets of the home, and where to log.
   */
  constructor(options: UnplacedLogOptions) {
    this.options = options;
  }

  /**
   * Logs the tasks that a round of placement has left waiting, if the latest line is old enough.
   * @param rooms - What organisations may still take into use after the round.
   * @param listTargets - Lists the targets as the next round would get them.
   */
  noteRound(rooms: OrganisationRooms, listTargets: () => readonly PlacementTarget[]): void {
    const { clock, dueClock, table } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.nextAtMs) return;
    const targets = listTargets();
    const jobs = table.listActive();
    const explanation = explainUnplaced({ jobs, targets, rooms, nowMs: dueClock.wallMs() });
    const waiting = this.takeNote(explanation.unplaced, nowMs);
    if (waiting.length > 0) this.write(explanation, waiting, targets);
    const tookMs = clock.monotonicMs() - nowMs;
    this.nextAtMs = nowMs + Math.max(INTERVAL_MS, PAUSE_FACTOR * tookMs);
  }

  /**
   * Notes which tasks wait. Of a step that is not long-running, only the last task is measured: it
   * is placed last, and such a step may have thousands.
   */
  private takeNote(unplaced: readonly UnplacedTasks[], nowMs: number): readonly WaitingTask[] {
    const keyed = unplaced.flatMap((tasks) => {
      const { positions } = tasks.ready;
      const measured = tasks.step.isLongRunning ? positions : positions.slice(-1);
      return measured.map((position) => {
        const task = tasks.row.tasks[position]!;
        const taskName = nameTask(tasks.row, task);
        const key = `${taskName} ${task.run}`;
        return { key, taskName, tasks, sinceMs: this.sinceMs.get(key) ?? nowMs };
      });
    });
    this.sinceMs = new Map(keyed.map(({ key, sinceMs }) => [key, sinceMs]));
    return keyed;
  }

  private write(
    { unplaced, largestFreeCpuMillicores }: UnplacedExplanation,
    waiting: readonly WaitingTask[],
    targets: readonly PlacementTarget[],
  ): void {
    const { clock, events, partition, term } = this.options;
    const nowMs = clock.monotonicMs();
    const getWaitMs = ({ sinceMs }: WaitingTask): number => Math.round(nowMs - sinceMs);
    const longest = findLongest(waiting)!;
    const longRunning = waiting.filter(({ tasks }) => tasks.step.isLongRunning);
    const named = findLongest(longRunning) ?? longest;
    const { reason, row } = named.tasks;
    const { pool } = row.spec.terms;
    events.write('tasksUnplaced', {
      partition,
      term,
      taskCount: countTasks(unplaced),
      longRunningCount: longRunning.length,
      longestWaitMs: getWaitMs(longest),
      taskName: named.taskName,
      pool,
      reason,
      waitMs: getWaitMs(named),
      largestFreeCpuMillicores: largestFreeCpuMillicores.get(pool),
      ...countByReason(unplaced),
      ...this.countTargets(targets),
    });
  }

  private countTargets(targets: readonly PlacementTarget[]): EventFields {
    const { drains, runs, sessions } = this.options;
    const tracked = sessions.listTracked();
    const reachable = tracked.filter(({ session }) => session.isReachable);
    const draining = reachable.filter(({ entry }) => entry.isDraining);
    const drained = reachable.filter(({ entry }) => drains.has(entry.targetId));
    const avoided = reachable.filter(({ entry }) => runs.isAvoided(entry.targetId));
    const withheld = new Set([...draining, ...drained, ...avoided]);
    const takingCount = targets.filter(({ takesTasks }) => takesTasks).length;
    return {
      targetCount: tracked.length,
      reachableCount: reachable.length,
      takingCount,
      drainingCount: draining.length,
      drainedCount: drained.length,
      avoidedCount: avoided.length,
      lapsedStartCount: reachable.length - withheld.size - takingCount,
    };
  }
}
