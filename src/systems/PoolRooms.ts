import type { StepSpec } from '../jobs/index.js';
import { getOccupied, type TargetRoom } from './TargetRoom.js';

/**
 * Rooms of one pool during a round of placement.
 *
 * Guards against rounds that take the processor of a small home where much waits: a full pool is
 * looked through once, and not again for each step that waits.
 */
export class PoolRooms {
  /** The rooms, in the order of their targets. */
  readonly rooms: readonly TargetRoom[];

  /** Most processor that is free in an open room; undefined once that may have changed. */
  private largestFreeCpuMillicores: number | undefined;

  /**
   * Takes the rooms of a pool.
   * @param rooms - The rooms; who takes room in them tells so by {@link noteTaken}.
   */
  constructor(rooms: readonly TargetRoom[]) {
    this.rooms = rooms;
  }

  /**
   * Tells whether some open room has the processor that a task of a step needs. The room may still
   * not accept the task for another reason.
   * @param step - The step.
   * @returns Whether it is worth to look for a room.
   */
  mayTake(step: StepSpec): boolean {
    this.largestFreeCpuMillicores ??= this.rooms
      .filter(({ isOpen }) => isOpen)
      .reduce((most, { freeCpuMillicores }) => Math.max(most, freeCpuMillicores), -Infinity);
    return getOccupied(step).cpuMillicores <= this.largestFreeCpuMillicores;
  }

  /** Takes note that room has been taken. */
  noteTaken(): void {
    this.largestFreeCpuMillicores = undefined;
  }
}
