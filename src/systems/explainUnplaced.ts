import type { DurableJobRow, StepSpec } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { listAllocations } from './listAllocations.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import type { OrganisationRooms } from './OrganisationRooms.js';
import {
  getAllocatedResources,
  getStepKey,
  type PlacementTarget,
  TargetCapacity,
} from './TargetCapacity.js';

/** Why ready tasks are not placed; the first that holds, in this order. */
export const UNPLACED_REASONS = [
  /** The home knows no target of the pool. */
  'no-target',
  /** Each target of the pool is silent, drains or is avoided. */
  'none-takes-tasks',
  /** The limit of the job's organisation. */
  'organisation-limit',
  /** No target that takes tasks has the label. */
  'label',
  /** No target that takes tasks has enough free resources. */
  'room',
  /** Each target with room is reserved for a task that may have crashed another, or is avoided. */
  'reserved',
  /** Each target with room already has as many tasks of the step as it may have. */
  'spread',
  /** There is no room for the whole gang, or not all of its tasks are ready. */
  'gang',
  /** None of these holds any more; the next round places the tasks. */
  'fits',
] as const;

/** Why ready tasks are not placed. */
export type UnplacedReason = (typeof UNPLACED_REASONS)[number];

/** Ready tasks of one step and occurrence that were not placed, for one reason. */
export interface UnplacedTasks {
  readonly row: DurableJobRow;
  readonly ready: ReadyTasks;
  readonly step: StepSpec;
  readonly reason: UnplacedReason;
}

/** Input of {@link explainUnplaced}. */
export interface ExplainUnplacedInput {
  /** Every job with ready tasks or with tasks on targets, after the round of placement. */
  readonly jobs: readonly DurableJobRow[];
  readonly targets: readonly PlacementTarget[];
  /** What organisations may still take into use after the round. */
  readonly rooms: Pick<OrganisationRooms, 'fits'>;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Ready tasks, and why they were not placed. */
export interface UnplacedExplanation {
  readonly unplaced: readonly UnplacedTasks[];
  /** Largest free CPU of a target that takes tasks, by pool, in thousandths of a core. */
  readonly largestFreeCpuMillicores: ReadonlyMap<string, number>;
}

/** The targets of a pool that take tasks. */
class PoolRoom {
  readonly largestFreeCpuMillicores: number;

  private readonly open: readonly TargetCapacity[];

  private readonly labels: ReadonlySet<string>;

  /** Whether a target has room, by the demand and label of a step: many steps have the same. */
  private readonly hasRoomByShape = new Map<string, boolean>();

  constructor(capacities: readonly TargetCapacity[]) {
    this.open = capacities.filter(({ target }) => target.takesTasks);
    this.labels = new Set(this.open.flatMap(({ target }) => target.labels));
    this.largestFreeCpuMillicores = this.open.reduce(
      (most, { freeCpuMillicores }) => Math.max(most, freeCpuMillicores),
      0,
    );
  }

  get takesTasks(): boolean {
    return this.open.length > 0;
  }

  /** Finds the reason in the targets; undefined if one of them would accept a task. */
  findReason(step: StepSpec, stepKey: string): UnplacedReason | undefined {
    const { requiredLabel } = step;
    if (requiredLabel !== undefined && !this.labels.has(requiredLabel)) return 'label';
    if (getAllocatedResources(step).cpuMillicores > this.largestFreeCpuMillicores) return 'room';
    if (!this.hasRoomFor(step)) return 'room';
    if (this.open.some((capacity) => capacity.accepts(stepKey, step))) return undefined;
    const isFree = (capacity: TargetCapacity): boolean =>
      capacity.acceptsTasks && capacity.isOpenTo(step) && capacity.hasRoomFor(step);
    return this.open.some(isFree) ? 'spread' : 'reserved';
  }

  private hasRoomFor(step: StepSpec): boolean {
    const { cpuMillicores, memoryMb, gpuCount } = getAllocatedResources(step);
    const shape = `${cpuMillicores}.${memoryMb}.${gpuCount}.${step.requiredLabel ?? ''}`;
    const known = this.hasRoomByShape.get(shape);
    if (known !== undefined) return known;
    const hasRoom = this.open.some((capacity) => capacity.hasRoomFor(step));
    this.hasRoomByShape.set(shape, hasRoom);
    return hasRoom;
  }
}

function createRooms({ jobs, targets }: ExplainUnplacedInput): ReadonlyMap<string, PoolRoom> {
  const capacities = new Map(
    targets.map((target) => [target.targetId, new TargetCapacity(target)]),
  );
  jobs
    .flatMap(listAllocations)
    .forEach(({ targetId, stepKey, step }) => capacities.get(targetId)?.allocate(stepKey, step));
  const byPool = groupBy([...capacities.values()], ({ target }) => target.pool);
  return new Map([...byPool].map(([pool, members]) => [pool, new PoolRoom(members)]));
}

function findReason(
  row: DurableJobRow,
  ready: ReadyTasks,
  pool: PoolRoom | undefined,
  rooms: ExplainUnplacedInput['rooms'],
): UnplacedReason {
  const step = row.spec.steps[ready.step]!;
  if (pool === undefined) return 'no-target';
  if (!pool.takesTasks) return 'none-takes-tasks';
  if (!rooms.fits(row, step)) return 'organisation-limit';
  const reason = pool.findReason(step, getStepKey(row, ready.occurrence, ready.step));
  return reason ?? (step.isGang ? 'gang' : 'fits');
}

/**
 * Finds out why ready tasks were not placed, once for each step and occurrence. It decides nothing.
 * @param input - Jobs and targets after a round of placement, and the current time.
 * @returns The ready tasks with the reasons; none if every ready task was placed.
 */
export function explainUnplaced(input: ExplainUnplacedInput): UnplacedExplanation {
  const { jobs, rooms, nowMs } = input;
  const pools = createRooms(input);
  const unplaced = jobs.flatMap((row) => {
    const pool = pools.get(row.spec.terms.pool);
    return listReadyTasks(row, nowMs).map((ready) => ({
      row,
      ready,
      step: row.spec.steps[ready.step]!,
      reason: findReason(row, ready, pool, rooms),
    }));
  });
  const largestFreeCpuMillicores = new Map(
    [...pools].map(([name, pool]) => [name, pool.largestFreeCpuMillicores]),
  );
  return { unplaced, largestFreeCpuMillicores };
}
