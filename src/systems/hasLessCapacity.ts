import type { Resources } from '../jobs/index.js';

/**
 * Tells whether a capacity is smaller than an earlier one in any resource.
 * @param current - The capacity.
 * @param previous - The earlier one.
 * @returns Whether it is.
 */
export function hasLessCapacity(current: Resources, previous: Resources): boolean {
  return (
    current.cpuMillicores < previous.cpuMillicores ||
    current.memoryMb < previous.memoryMb ||
    current.gpuCount < previous.gpuCount
  );
}
