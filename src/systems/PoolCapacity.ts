import type { StepSpec } from '../jobs/index.js';
import { getAllocatedResources, type TargetCapacity } from './TargetCapacity.js';

/**
 * Free capacity of one pool's targets during a round of placement.
 *
 * Caches the largest free CPU of the targets, so that a full pool is scanned once and not for each
 * waiting step. Repeated scans would use up the CPU of a small home when many steps wait.
 */
export class PoolCapacity {
  /** Free capacity of each target, in the order of the targets. */
  readonly capacities: readonly TargetCapacity[];

  /** Whether a target of the pool is avoided, as it is slow or fails. */
  readonly hasAvoided: boolean;

  /** Largest free CPU of a target that accepts tasks; undefined after it may have changed. */
  private largestFreeCpuMillicores: number | undefined;

  /**
   * Creates the capacity of a pool.
   * @param capacities - Free capacity of each target; call {@link invalidateCache} after each
   *   allocation.
   */
  constructor(capacities: readonly TargetCapacity[]) {
    this.capacities = capacities;
    this.hasAvoided = capacities.some(({ isAvoided }) => isAvoided);
  }

  /**
   * Tells whether some target that accepts tasks has enough free CPU for a task of a step. The
   * target may still reject the task for another reason.
   * @param step - The step.
   * @returns Whether it is worth searching for a target.
   */
  mayFit(step: StepSpec): boolean {
    // A service may also start on a target that is avoided.
    if (step.isLongRunning && this.hasAvoided) return true;
    this.largestFreeCpuMillicores ??= this.capacities
      .filter((capacity) => capacity.acceptsTasks && capacity.isOpenToTasks)
      .reduce((most, { freeCpuMillicores }) => Math.max(most, freeCpuMillicores), -Infinity);
    return getAllocatedResources(step).cpuMillicores <= this.largestFreeCpuMillicores;
  }

  /** Invalidates the cached value after an allocation. */
  invalidateCache(): void {
    this.largestFreeCpuMillicores = undefined;
  }
}
