import type { DurableJobRow, StepSpec, TaskRow } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listAllocations } from './listAllocations.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import { isSuspect } from './listSuspects.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { OrganisationRooms } from './OrganisationRooms.js';
import { PoolCapacity } from './PoolCapacity.js';
import { getStepKey, type PlacementTarget, TargetCapacity } from './TargetCapacity.js';

/** A task and the target on which it is to start. */
export interface TaskPlacement {
  readonly jobId: string;
  /** Index of the task in its job's list of tasks. */
  readonly position: number;
  readonly targetId: string;
  /** CPU of the target that was free before the placement, in thousandths of a core. */
  readonly freeCpuMillicores: number;
}

/** Input of {@link placeTasks}. */
export interface PlaceTasksInput {
  /** Unfinished jobs in placement order. */
  readonly jobs: readonly DurableJobRow[];
  /** Every job with tasks on targets, including finished jobs that are being stopped. */
  readonly allocatedJobs: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  /** Returns the targets on which a task has failed before; other targets are preferred. */
  readonly getFailedTargets: (jobId: string, position: number) => ReadonlySet<string>;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /**
   * Tells whether a job bears a run on a target that may still be slow, which shows its pace; each
   * does if absent.
   */
  readonly mayProbe?: (row: DurableJobRow) => boolean;
  /** What organisations may still take into use; without limits if absent. */
  readonly rooms?: OrganisationRooms;
  /** Enabled mechanisms; all if absent. */
  readonly mechanisms?: Mechanisms;
}

const NO_TARGETS: ReadonlySet<string> = new Set();

function allocatePlacedTasks(
  capacities: ReadonlyMap<string, TargetCapacity>,
  row: DurableJobRow,
): void {
  listAllocations(row).forEach(({ targetId, stepKey, step }) =>
    capacities.get(targetId)?.allocate(stepKey, step),
  );
}

/** Ready tasks of one step and occurrence, and how targets are chosen for them. */
interface StepPlacement {
  readonly row: DurableJobRow;
  readonly ready: ReadyTasks;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly getFailedTargets: PlaceTasksInput['getFailedTargets'];
  readonly isFullestFirst: boolean;
  /** Whether some target of the pool is avoided, as it is slow or fails. */
  readonly hasAvoided: boolean;
  readonly mayProbe: boolean;
  readonly rooms: OrganisationRooms;
}

/**
 * Chooses the fullest target with sufficient free capacity (bin packing), so that other targets
 * become idle and can move to another pool. If tasks were spread evenly, a pool would keep every VM
 * after a load peak until the last task ends. These criteria come first, the strongest first:
 *
 * - A task that may have crashed a target goes where another crash would cost least.
 * - Targets that are slow or fail get a task only if no other target has room.
 * - Targets on which the task has failed before are avoided.
 * - The rack of the task's data is preferred, since the task takes longer elsewhere.
 * - A task of a step with a limit on unavailable tasks goes to the target with the fewest tasks of
 *   that step, so that maintenance affects few of them at a time.
 * - Targets that already run long-running tasks come first, since these never become idle.
 */
function chooseTarget(
  capacities: readonly TargetCapacity[],
  { step, stepKey, isFullestFirst, hasAvoided, mayProbe }: StepPlacement,
  task: TaskRow,
  failedTargets: ReadonlySet<string>,
): TargetCapacity | undefined {
  const getPreference = (capacity: TargetCapacity): readonly number[] => [
    failedTargets.has(capacity.target.targetId) ? 1 : 0,
    step.dataRack !== undefined && capacity.target.rack !== step.dataRack ? 1 : 0,
    step.maxUnavailableCount === undefined ? 0 : capacity.countTasks(stepKey),
    isFullestFirst && !capacity.hasLongRunningTasks ? 1 : 0,
    isFullestFirst ? capacity.freeCpuMillicores : -capacity.freeCpuMillicores,
  ];
  const getSuspectPreference = (capacity: TargetCapacity): readonly number[] => [
    ...capacity.crashCost,
    ...getPreference(capacity),
  ];
  const getSoundRank = isSuspect(task) ? getSuspectPreference : getPreference;
  const getRank = hasAvoided
    ? (capacity: TargetCapacity) => [capacity.isAvoided ? 1 : 0, ...getSoundRank(capacity)]
    : getSoundRank;
  const isBetter = (a: readonly number[], b: readonly number[]): boolean => {
    const firstDifference = a.findIndex((value, index) => value !== b[index]);
    return firstDifference >= 0 && a[firstDifference]! < b[firstDifference]!;
  };
  return capacities
    .filter((capacity) => capacity.accepts(stepKey, step, mayProbe))
    .map((capacity) => ({ capacity, rank: getRank(capacity) }))
    .reduce<{ readonly capacity: TargetCapacity; readonly rank: readonly number[] } | undefined>(
      (best, next) => (best === undefined || isBetter(next.rank, best.rank) ? next : best),
      undefined,
    )?.capacity;
}

/**
 * Lists the targets on which tasks of a step have failed, for each of them: those of its own runs,
 * or of its whole gang, whose members fail together.
 */
function createFailedTargets({
  row,
  ready,
  step,
  getFailedTargets,
}: StepPlacement): (position: number) => ReadonlySet<string> {
  const listOf = (position: number): ReadonlySet<string> =>
    getFailedTargets(row.spec.jobId, position);
  const hasFailed = (position: number): boolean => row.tasks[position]!.failureCount > 0;
  if (!step.isGang) return (position) => (hasFailed(position) ? listOf(position) : NO_TARGETS);
  const ofGang = ready.positions.some(hasFailed)
    ? new Set(ready.positions.flatMap((position) => [...listOf(position)]))
    : NO_TARGETS;
  return () => ofGang;
}

/** Places tasks one by one until one does not fit; the others of the step would not fit either. */
function placeOneByOne(
  placement: StepPlacement,
  capacities: readonly TargetCapacity[],
): readonly TaskPlacement[] {
  const { row, ready, step, stepKey, rooms } = placement;
  const { jobId } = row.spec;
  const getFailedTargets = createFailedTargets(placement);
  let isFull = false;
  return ready.positions.flatMap((position): readonly TaskPlacement[] => {
    if (isFull) return [];
    const task = row.tasks[position]!;
    const capacity = rooms.fits(row, step)
      ? chooseTarget(capacities, placement, task, getFailedTargets(position))
      : undefined;
    isFull = capacity === undefined;
    if (capacity === undefined) return [];
    const { freeCpuMillicores, target } = capacity;
    capacity.allocate(stepKey, step);
    rooms.allocate(row, step);
    if (isSuspect(task) && !step.isGang) capacity.reserve();
    return [{ jobId, position, targetId: target.targetId, freeCpuMillicores }];
  });
}

/** Places all members of a gang on the given targets, or none. */
function placeMembers(
  placement: StepPlacement,
  capacities: readonly TargetCapacity[],
): readonly TaskPlacement[] {
  const { row, step, stepKey, rooms } = placement;
  const members = placeOneByOne(placement, capacities);
  const getCapacity = ({ targetId }: TaskPlacement): TargetCapacity =>
    capacities.find(({ target }) => target.targetId === targetId)!;
  if (members.length < step.taskCount) {
    members.forEach((member) => {
      getCapacity(member).release(stepKey, step);
      rooms.release(row, step);
    });
    return [];
  }
  members
    .filter(({ position }) => isSuspect(row.tasks[position]!))
    .forEach((member) => getCapacity(member).reserve());
  return members;
}

/**
 * Places a gang completely or not at all, on a single rack if it wants that and fits on one.
 * Members that wait for unplaced ones would occupy resources without progress, and end alone.
 */
function placeGang(
  placement: StepPlacement,
  capacities: readonly TargetCapacity[],
): readonly TaskPlacement[] {
  const { ready, step } = placement;
  if (ready.positions.length < step.taskCount) return [];
  const racks = step.wantsSameRack
    ? [...groupBy(capacities, ({ target }) => target.rack).values()]
    : [];
  return [...racks, capacities].reduce<readonly TaskPlacement[]>(
    (placed, candidates) => (placed.length > 0 ? placed : placeMembers(placement, candidates)),
    [],
  );
}

/**
 * Assigns waiting tasks to targets with sufficient free capacity.
 * @param input - Jobs in placement order, targets, and the current time.
 * @returns The placements; a gang is placed completely or not at all.
 */
export function placeTasks(input: PlaceTasksInput): readonly TaskPlacement[] {
  const {
    jobs,
    allocatedJobs,
    targets,
    getFailedTargets,
    nowMs,
    mayProbe = () => true,
    rooms = new OrganisationRooms(allocatedJobs, () => undefined),
    mechanisms = ALL_MECHANISMS,
  } = input;
  const isFullestFirst = mechanisms.has('fullest-target-first');
  const capacities = new Map(
    targets.map((target) => [target.targetId, new TargetCapacity(target)]),
  );
  allocatedJobs.forEach((row) => allocatePlacedTasks(capacities, row));
  const capacitiesByPool = groupBy([...capacities.values()], (capacity) => capacity.target.pool);
  const pools = new Map(
    [...capacitiesByPool].map(([pool, poolCapacities]) => [pool, new PoolCapacity(poolCapacities)]),
  );
  return jobs.flatMap((row) => {
    const pool = pools.get(row.spec.terms.pool);
    if (pool === undefined) return [];
    return listReadyTasks(row, nowMs).flatMap((ready) => {
      const step = row.spec.steps[ready.step]!;
      if (!pool.mayFit(step)) return [];
      const stepKey = getStepKey(row, ready.occurrence, ready.step);
      const placement = {
        row,
        ready,
        step,
        stepKey,
        getFailedTargets,
        isFullestFirst,
        hasAvoided: pool.hasAvoided,
        mayProbe: pool.hasAvoided && mayProbe(row),
        rooms,
      };
      const placeStep = step.isGang ? placeGang : placeOneByOne;
      const placed = placeStep(placement, pool.capacities);
      if (placed.length > 0) pool.invalidateCache();
      return placed;
    });
  });
}
