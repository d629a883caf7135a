import type { DurableJobRow, StepSpec, TaskRow } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listOccupants } from './listOccupants.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import { isSuspect } from './listSuspects.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { PoolRooms } from './PoolRooms.js';
import { getStepKey, type PlacementTarget, TargetRoom } from './TargetRoom.js';

/** A task that is to start on a target. */
export interface TaskPlacement {
  readonly jobId: string;
  /** Place of the task among its job's tasks. */
  readonly position: number;
  readonly targetId: string;
  /** Processor of the target that was free before, in thousandths of a core. */
  readonly freeCpuMillicores: number;
}

/** What {@link placeTasks} decides over. */
export interface PlaceTasksInput {
  /** Unfinished jobs in the order in which they get room. */
  readonly jobs: readonly DurableJobRow[];
  /** Every job with tasks on targets, also finished ones that are being stopped. */
  readonly occupants: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  /** Targets on which a task has failed before; another one is preferred. */
  readonly failedOn: (jobId: string, position: number) => ReadonlySet<string>;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** What is on; everything where it is absent. */
  readonly mechanisms?: Mechanisms;
}

const NONE: ReadonlySet<string> = new Set();

function occupy(rooms: ReadonlyMap<string, TargetRoom>, row: DurableJobRow): void {
  listOccupants(row).forEach(({ targetId, stepKey, step }) =>
    rooms.get(targetId)?.take(stepKey, step),
  );
}

/**
 * Chooses the fullest target that has room, so that others fall idle and can change their pool.
 * With tasks spread evenly, a pool whose rush is over keeps every VM until its last task ends. A
 * target that long-running tasks hold anyway comes first. The rack of the data goes before that:
 * elsewhere the task takes longer. A task of a step that may lose only some tasks at a time goes
 * where the step has fewest, so that maintenance meets few of them. A task that may have crashed a
 * target goes where least is lost if it crashes the next one.
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

/** Tasks of one step and occurrence, and the rooms that may take them. */
interface StepPlacement {
  readonly row: DurableJobRow;
  readonly ready: ReadyTasks;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly failedOn: PlaceTasksInput['failedOn'];
  readonly isFullestFirst: boolean;
}

/** Places the tasks one by one until one finds no room; the others of the step would find none. */
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

/** Places all members of a gang in some rooms, or none. */
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
 * Places a gang whole or not at all, on one rack where it wants that and one has room. Members that
 * wait for others without room would hold their resources for nothing, and end alone.
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
 * Gives waiting tasks to targets with room for them.
 * @param input - Jobs in their order, targets, and the time.
 * @returns The placements; a gang is placed whole or not at all.
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
