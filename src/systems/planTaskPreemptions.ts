import {
  type DurableJobRow,
  isLongRunning,
  listPlacedTasks,
  type StepSpec,
} from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { STOP_AND_START_MS } from './leadTimes.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import type { OrganisationRooms } from './OrganisationRooms.js';
import type { RunTimes } from './RunTimes.js';
import { getStepKey, type PlacementTarget, TargetCapacity } from './TargetCapacity.js';

/** A task that is to be stopped, so that a task of a more urgent job gets its room. */
export interface TaskPreemption {
  readonly jobId: string;
  /** Index of the task in its job's list of tasks. */
  readonly position: number;
  readonly targetId: string;
  /** The job that gets the room. */
  readonly forJobId: string;
  /** Work that is lost, in thousandths of a core times milliseconds. */
  readonly lostWork: number;
}

/** State of a run that may be stopped before its end. */
export type PreemptibleRun =
  | { readonly type: 'running'; readonly progressPercent: number }
  /** It is being stopped already, so its room will be free soon. */
  | { readonly type: 'stopping' }
  /** It isn't known to be at work, or has been stopped for others before. */
  | { readonly type: 'protected' };

/** Input of {@link planTaskPreemptions}. */
export interface PlanTaskPreemptionsInput {
  /** Jobs that may have tasks that were not placed, in placement order. */
  readonly waitingJobs: readonly DurableJobRow[];
  /** Every job with tasks on targets, including the placements of this round. */
  readonly allocatedJobs: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  readonly runTimes: RunTimes;
  /** What organisations may still take into use. */
  readonly rooms: OrganisationRooms;
  readonly getRun: (row: DurableJobRow, position: number) => PreemptibleRun;
  /** Steady wall-clock time by which jobs are late, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** Wall-clock time by which occurrences are due, in milliseconds since the Unix epoch. */
  readonly dueAtMs: number;
}

/** Most tasks that are stopped in one round, which bounds its processor time. */
const MAX_PREEMPTION_COUNT = 32;
/** Progress from which a run without checkpoints is left to end, in percent. */
const MAX_LOST_PERCENT = 50;

/** A run that may be stopped, with what that costs. */
interface StoppableRun {
  readonly row: DurableJobRow;
  readonly position: number;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly lostWork: number;
}

/** The targets of a pool during the planning, and the runs on them that may be stopped. */
class PreemptionPool {
  private readonly capacities: readonly TargetCapacity[];

  private readonly runsByTarget: Map<string, readonly StoppableRun[]>;

  constructor(capacities: readonly TargetCapacity[], runs: readonly StoppableRun[]) {
    this.capacities = capacities.filter(({ acceptsTasks }) => acceptsTasks);
    const ordered = runs.toSorted(
      (a, b) => b.row.spec.terms.priority - a.row.spec.terms.priority || a.lostWork - b.lostWork,
    );
    const getTargetId = ({ row, position }: StoppableRun): string => row.tasks[position]!.targetId!;
    this.runsByTarget = new Map(groupBy(ordered, getTargetId));
  }

  /** Allocates room that is free, or will be once what is being stopped has ended. */
  takeFreeRoom(stepKey: string, step: StepSpec): boolean {
    const capacity = this.capacities.find((each) => each.accepts(stepKey, step));
    capacity?.allocate(stepKey, step);
    return capacity !== undefined;
  }

  /** Makes room for a task on the target where least work is lost, and allocates it. */
  makeRoom(stepKey: string, step: StepSpec, priority: number): readonly StoppableRun[] | undefined {
    const cheapest = this.capacities
      .map((capacity) => ({
        capacity,
        runs: this.listRunsToStop(capacity, stepKey, step, priority),
      }))
      .reduce<{ capacity: TargetCapacity; runs: readonly StoppableRun[]; lostWork: number }>(
        (best, { capacity, runs }) => {
          if (runs === undefined) return best;
          const lostWork = runs.reduce((sum, run) => sum + run.lostWork, 0);
          const isBetter =
            lostWork < best.lostWork ||
            (lostWork === best.lostWork && runs.length < best.runs.length);
          return isBetter ? { capacity, runs, lostWork } : best;
        },
        { capacity: this.capacities[0]!, runs: [], lostWork: Infinity },
      );
    if (cheapest.runs.length === 0) return undefined;
    const { capacity, runs } = cheapest;
    runs.forEach((run) => capacity.release(run.stepKey, run.step));
    capacity.allocate(stepKey, step);
    const { targetId } = capacity.target;
    const left = this.runsByTarget.get(targetId)!.filter((run) => !runs.includes(run));
    this.runsByTarget.set(targetId, left);
    return runs;
  }

  /**
   * Lists runs, the least urgent ones first, after which the target accepts a task. Runs whose
   * resources the task can do without are left out: stopping them would gain nothing.
   */
  private listRunsToStop(
    capacity: TargetCapacity,
    stepKey: string,
    step: StepSpec,
    priority: number,
  ): readonly StoppableRun[] | undefined {
    const candidates = (this.runsByTarget.get(capacity.target.targetId) ?? []).filter(
      ({ row }) => row.spec.terms.priority > priority,
    );
    const released: StoppableRun[] = [];
    const isEnough = candidates.some((run) => {
      capacity.release(run.stepKey, run.step);
      released.push(run);
      return capacity.accepts(stepKey, step);
    });
    const needed = released.toReversed().filter((run) => {
      capacity.allocate(run.stepKey, run.step);
      const isNeeded = !capacity.accepts(stepKey, step);
      if (isNeeded) capacity.release(run.stepKey, run.step);
      return isNeeded;
    });
    needed.forEach((run) => capacity.allocate(run.stepKey, run.step));
    return isEnough ? needed : undefined;
  }
}

/** Gets what stopping a run costs; undefined if it is better left to end. */
function createStoppableRun(
  row: DurableJobRow,
  position: number,
  progressPercent: number,
  runTimes: RunTimes,
): StoppableRun | undefined {
  const { step: stepIndex, occurrence } = row.tasks[position]!;
  const step = row.spec.steps[stepIndex]!;
  if (step.isLongRunning || step.isGang) return undefined;
  const runMs = runTimes.estimateMs(row, stepIndex);
  const doneMs = (runMs * progressPercent) / 100;
  // The waiting task would gain nothing.
  if (runMs - doneMs < STOP_AND_START_MS) return undefined;
  if (!step.isCheckpointing && progressPercent >= MAX_LOST_PERCENT) return undefined;
  const lostWork = step.isCheckpointing ? 0 : doneMs * step.demand.cpuMillicores;
  return { row, position, step, stepKey: getStepKey(row, occurrence, stepIndex), lostWork };
}

function createPool(input: PlanTaskPreemptionsInput, pool: string): PreemptionPool {
  const { allocatedJobs, targets, getRun, runTimes } = input;
  const capacities = new Map(
    targets
      .filter((target) => target.pool === pool)
      .map((target) => [target.targetId, new TargetCapacity(target)]),
  );
  const stoppableRuns = allocatedJobs
    .filter((row) => row.spec.terms.pool === pool)
    .flatMap((row) =>
      listPlacedTasks(row).flatMap(({ task, position }): readonly StoppableRun[] => {
        const run = getRun(row, position);
        if (run.type === 'stopping') return [];
        const stepKey = getStepKey(row, task.occurrence, task.step);
        capacities.get(task.targetId!)?.allocate(stepKey, row.spec.steps[task.step]!);
        if (run.type === 'protected') return [];
        const stoppable = createStoppableRun(row, position, run.progressPercent, runTimes);
        return stoppable === undefined ? [] : [stoppable];
      }),
    );
  return new PreemptionPool([...capacities.values()], stoppableRuns);
}

/** Lists the pools in which a job waits while there is a less urgent one. */
function listContendedPools({
  waitingJobs,
  allocatedJobs,
}: Pick<PlanTaskPreemptionsInput, 'waitingJobs' | 'allocatedJobs'>): ReadonlySet<string> {
  const lowest = new Map<string, number>();
  allocatedJobs.forEach(({ spec: { terms } }) =>
    lowest.set(terms.pool, Math.max(lowest.get(terms.pool) ?? -Infinity, terms.priority)),
  );
  return new Set(
    waitingJobs
      .map(({ spec: { terms } }) => terms)
      .filter(({ pool, priority }) => priority < (lowest.get(pool) ?? -Infinity))
      .map(({ pool }) => pool),
  );
}

/** Lists the tasks of a job that wait for room and are not members of a gang. */
function listSingleTasks(row: DurableJobRow, dueAtMs: number): readonly ReadyTasks[] {
  return listReadyTasks(row, dueAtMs).filter(({ step }) => !row.spec.steps[step]!.isGang);
}

/**
 * Tells whether a job can still meet its objective in room that a stop frees. The room of a run
 * that is stopped for a late job would go back to the stopped task.
 */
function isInTime(
  row: DurableJobRow,
  { nowMs, runTimes }: Pick<PlanTaskPreemptionsInput, 'nowMs' | 'runTimes'>,
): boolean {
  return isLongRunning(row) || nowMs + STOP_AND_START_MS <= estimateStartByMs(row, runTimes);
}

/**
 * Finds room for one task of a job and allocates it.
 * @returns The runs to stop, none if there is free room; undefined if the task gets no room.
 */
function makeRoomForTask(
  row: DurableJobRow,
  { step: stepIndex, occurrence }: ReadyTasks,
  pool: PreemptionPool,
  rooms: OrganisationRooms,
): readonly TaskPreemption[] | undefined {
  const { jobId: forJobId, steps, terms } = row.spec;
  const step = steps[stepIndex]!;
  const stepKey = getStepKey(row, occurrence, stepIndex);
  if (!rooms.fits(row, step)) return undefined;
  const stopped = pool.takeFreeRoom(stepKey, step)
    ? []
    : pool.makeRoom(stepKey, step, terms.priority);
  if (stopped === undefined) return undefined;
  rooms.allocate(row, step);
  return stopped.map(({ row: { spec, tasks }, position, lostWork }) => {
    const targetId = tasks[position]!.targetId!;
    return { jobId: spec.jobId, position, targetId, forJobId, lostWork };
  });
}

/**
 * Plans which tasks to stop so that tasks of more urgent queues in the same pool get their room.
 *
 * This handles urgent jobs that arrive in a pool full of less urgent ones, whose tasks run for
 * longer than the urgent callers can wait. Only tasks of a queue with a lower
 * priority are stopped, those that lose the least work first: a task with checkpoints goes on from
 * where it was stopped. Long-running tasks and gangs are never stopped, nor a run that is about to
 * end. Nothing is stopped for a gang, for a job that is too late for its objective, or for one that
 * waits for the limit of its organisation. Room that earlier stops are about to free counts as
 * free, so that each waiting task has runs stopped once.
 * @param input - Waiting jobs, placed tasks and targets after a round of placement.
 * @returns The tasks to stop; none where all jobs of a pool have the same priority.
 */
export function planTaskPreemptions(input: PlanTaskPreemptionsInput): readonly TaskPreemption[] {
  const { allocatedJobs, dueAtMs } = input;
  const waitingJobs = input.waitingJobs.filter(
    (row) => listSingleTasks(row, dueAtMs).length > 0 && isInTime(row, input),
  );
  const contended = listContendedPools({ waitingJobs, allocatedJobs });
  const pools = new Map([...contended].map((pool) => [pool, createPool(input, pool)]));
  const planned: TaskPreemption[] = [];
  waitingJobs
    .filter((row) => contended.has(row.spec.terms.pool))
    .forEach((row) => {
      const pool = pools.get(row.spec.terms.pool)!;
      listSingleTasks(row, dueAtMs).forEach((ready) =>
        ready.positions.every(() => {
          if (planned.length >= MAX_PREEMPTION_COUNT) return false;
          const stopped = makeRoomForTask(row, ready, pool, input.rooms);
          planned.push(...(stopped ?? []));
          return stopped !== undefined;
        }),
      );
    });
  return planned;
}
