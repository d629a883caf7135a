import type { DurableJobRow, StepSpec, TaskRow } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listOccupants } from './listOccupants.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import { isSuspect } from './listSuspects.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { PoolRooms } from './PoolRooms.js';
import { getStepKey, type PlacementTarget, TargetRoom } from './TargetRoom.js';

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
  readonly occupants: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  /** Returns the targets on which a task has failed before; other targets are preferred. */
  readonly failedOn: (jobId: string, position: number) => ReadonlySet<string>;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** Enabled mechanisms; all if absent. */
  readonly mechanisms?: Mechanisms;
}

const NONE: ReadonlySet<string> = new Set();

function occupy(rooms: ReadonlyMap<string, TargetRoom>, row: DurableJobRow): void {
  listOccupants(row).forEach(({ targetId, stepKey, step }) =>
    rooms.get(targetId)?.take(stepKey, step),
  );
}

/**
 * Chooses the fullest target with sufficient free capacity (bin packing), so that other targets
 * become idle and can move to another pool. If tasks were spread evenly, a pool would keep every VM
 * after a load peak until the last task ends. These criteria come first, the strongest first:
 *
 * - A task that may have crashed a target goes where another crash would cost least.
 * - Targets on which the task has failed before are avoided.
 * - The rack of the task's data is preferred, since the task takes longer elsewhere.
 * - A task of a step with a limit on unavailable tasks goes to the target with the fewest tasks of
 *   that step, so that maintenance affects few of them at a time.
 * - Targets that already run long-running tasks come first, since these never become idle.
 */
function chooseRoom(
  rooms: readonly TargetRoom[],
  step: StepSpec,
  stepKey: string,
  task: TaskRow,
  failed: ReadonlySet<string>,
  isFullestFirst: boolean,
): TargetRoom | undefined {
  const preference = (room: TargetRoom): readonly number[] => [
    failed.has(room.target.targetId) ? 1 : 0,
    step.dataRack !== undefined && room.target.rack !== step.dataRack ? 1 : 0,
    step.maxUnavailableCount === undefined ? 0 : room.countOf(stepKey),
    isFullestFirst && !room.isHeld ? 1 : 0,
    isFullestFirst ? room.freeCpuMillicores : -room.freeCpuMillicores,
  ];
  const preferenceOfSuspect = (room: TargetRoom): readonly number[] => [
    ...room.stake,
    ...preference(room),
  ];
  const rankRoom = isSuspect(task) ? preferenceOfSuspect : preference;
  const isBetter = (a: readonly number[], b: readonly number[]): boolean => {
    const place = a.findIndex((value, index) => value !== b[index]);
    return place >= 0 && a[place]! < b[place]!;
  };
  return rooms
    .filter((room) => room.accepts(stepKey, step))
    .map((room) => ({ room, rank: rankRoom(room) }))
    .reduce<{ readonly room: TargetRoom; readonly rank: readonly number[] } | undefined>(
      (best, next) => (best === undefined || isBetter(next.rank, best.rank) ? next : best),
      undefined,
    )?.room;
}

/** Ready tasks of one step and occurrence, and how targets are chosen for them. */
interface StepPlacement {
  readonly row: DurableJobRow;
  readonly ready: ReadyTasks;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly failedOn: PlaceTasksInput['failedOn'];
  readonly isFullestFirst: boolean;
}

/** Places tasks one by one until one does not fit; the others of the step would not fit either. */
function placeInTurn(
  { row, ready, step, stepKey, failedOn, isFullestFirst }: StepPlacement,
  rooms: readonly TargetRoom[],
): readonly TaskPlacement[] {
  const { jobId } = row.spec;
  let isFull = false;
  return ready.positions.flatMap((position): readonly TaskPlacement[] => {
    if (isFull) return [];
    const task = row.tasks[position]!;
    const failed = task.failureCount > 0 ? failedOn(jobId, position) : NONE;
    const room = chooseRoom(rooms, step, stepKey, task, failed, isFullestFirst);
    isFull = room === undefined;
    if (room === undefined) return [];
    const { freeCpuMillicores, target } = room;
    room.take(stepKey, step);
    if (isSuspect(task) && !step.isGang) room.reserve();
    return [{ jobId, position, targetId: target.targetId, freeCpuMillicores }];
  });
}

/** Places all members of a gang on the given targets, or none. */
function placeMembers(
  placement: StepPlacement,
  rooms: readonly TargetRoom[],
): readonly TaskPlacement[] {
  const { step, stepKey } = placement;
  const members = placeInTurn(placement, rooms);
  const getRoom = ({ targetId }: TaskPlacement): TargetRoom =>
    rooms.find(({ target }) => target.targetId === targetId)!;
  if (members.length < step.taskCount) {
    members.forEach((member) => getRoom(member).release(stepKey, step));
    return [];
  }
  members
    .filter(({ position }) => isSuspect(placement.row.tasks[position]!))
    .forEach((member) => getRoom(member).reserve());
  return members;
}

/**
 * Places a gang completely or not at all, on a single rack if it wants that and fits on one.
 * Members that wait for unplaced ones would occupy resources without progress, and end alone.
 */
function placeGang(
  placement: StepPlacement,
  rooms: readonly TargetRoom[],
): readonly TaskPlacement[] {
  const { ready, step } = placement;
  if (ready.positions.length < step.taskCount) return [];
  const racks = step.wantsSameRack ? [...groupBy(rooms, ({ target }) => target.rack).values()] : [];
  return [...racks, rooms].reduce<readonly TaskPlacement[]>(
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
  const { jobs, occupants, targets, failedOn, nowMs, mechanisms = ALL_MECHANISMS } = input;
  const isFullestFirst = mechanisms.has('fullest-target-first');
  const rooms = new Map(targets.map((target) => [target.targetId, new TargetRoom(target)]));
  occupants.forEach((row) => occupy(rooms, row));
  const byPool = groupBy([...rooms.values()], (room) => room.target.pool);
  const pools = new Map([...byPool].map(([pool, ofPool]) => [pool, new PoolRooms(ofPool)]));
  return jobs.flatMap((row) => {
    const pool = pools.get(row.spec.terms.pool);
    if (pool === undefined) return [];
    return listReadyTasks(row, nowMs).flatMap((ready) => {
      const step = row.spec.steps[ready.step]!;
      if (!pool.mayTake(step)) return [];
      const stepKey = getStepKey(row, ready.occurrence, ready.step);
      const placement = { row, ready, step, stepKey, failedOn, isFullestFirst };
      const place = step.isGang ? placeGang : placeInTurn;
      const placed = place(placement, pool.rooms);
      if (placed.length > 0) pool.noteTaken();
      return placed;
    });
  });
}
