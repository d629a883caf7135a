import type { StepSpec } from '../jobs/index.js';
import { getOccupied, type TargetRoom } from './TargetRoom.js';

/**
 * Free capacity of one pool's targets during a round of placement.
 *
 * Caches the largest free CPU of the targets, so that a full pool is scanned once and not for each
 * waiting step. Repeated scans would use up the CPU of a small home when many steps wait.
 */
export class PoolRooms {
  /** Free capacity of each target, in the order of the targets. */
  readonly rooms: readonly TargetRoom[];

  /** Largest free CPU of a target that accepts tasks; undefined after it may have changed. */
  private largestFreeCpuMillicores: number | undefined;

  /**
   * Creates the capacity of a pool.
   * @param rooms - Free capacity of each target; call {@link noteTaken} after each allocation.
   */
  constructor(rooms: readonly TargetRoom[]) {
    this.rooms = rooms;
  }

  /**
   * Tells whether some target that accepts tasks has enough free CPU for a task of a step. The
   * target may still reject the task for another reason.
   * @param step - The step.
   * @returns Whether it is worth searching for a target.
   */
  mayTake(step: StepSpec): boolean {
    this.largestFreeCpuMillicores ??= this.rooms
      .filter(({ isOpen }) => isOpen)
      .reduce((most, { freeCpuMillicores }) => Math.max(most, freeCpuMillicores), -Infinity);
    return getOccupied(step).cpuMillicores <= this.largestFreeCpuMillicores;
  }

  /** Invalidates the cached value after an allocation. */
  noteTaken(): void {
    this.largestFreeCpuMillicores = undefined;
  }
}
