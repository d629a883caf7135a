import type { Resources } from './DurableJobSpec.js';

/** Names of the resources. */
export const RESOURCE_NAMES = ['cpuMillicores', 'memoryMb', 'gpuCount'] as const;

/** Name of a resource. */
export type ResourceName = (typeof RESOURCE_NAMES)[number];

/** Amounts of no resource. */
export const NO_RESOURCES: Resources = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };

/**
 * Computes each resource by itself.
 * @param compute - Computes the amount of a resource.
 * @returns The amounts.
 */
export function mapResources(compute: (name: ResourceName) => number): Resources {
  return {
    cpuMillicores: compute('cpuMillicores'),
    memoryMb: compute('memoryMb'),
    gpuCount: compute('gpuCount'),
  };
}

/**
 * Adds a number of equal amounts.
 * @param sum - The amounts so far.
 * @param demand - What is added.
 * @param count - How many times it is added.
 * @returns The amounts with it.
 */
export function addResources(sum: Resources, demand: Resources, count = 1): Resources {
  return mapResources((name) => sum[name] + demand[name] * count);
}

/**
 * Tells whether amounts contain none of any resource.
 * @param amounts - The amounts.
 * @returns Whether each one is 0.
 */
export function isEmptyResources(amounts: Resources): boolean {
  return RESOURCE_NAMES.every((name) => amounts[name] === 0);
}
