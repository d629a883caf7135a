import { isEmptyResources, NO_RESOURCES, type Resources } from '../jobs/index.js';

/** A customer whose callers prove with a key that a call is theirs. */
export interface Organisation {
  readonly name: string;
  /** Share of the organisation among the others when a pool is full. */
  readonly weight: number;
  /** Most that its tasks may have in use over all pools; 0 in a field is no limit there. */
  readonly limit: Resources;
  /** SHA-256 digests of its keys, in hexadecimal digits. */
  readonly keyDigests: readonly string[];
}

/** Limit of an organisation that may use as much as there is. */
export const NO_LIMIT: Resources = NO_RESOURCES;

/**
 * Tells whether a limit counts any resource.
 * @param limit - The limit.
 * @returns False if the organisation may use as much as there is.
 */
export function hasLimit(limit: Resources): boolean {
  return !isEmptyResources(limit);
}

/** Weight of an organisation that the configuration in force does not have. */
const DEFAULT_WEIGHT = 1;

/**
 * Gets the weight of an organisation.
 * @param organisations - Organisations of the configuration in force.
 * @param name - Name of the organisation.
 * @returns Its weight.
 */
export function getWeight(organisations: readonly Organisation[], name: string): number {
  return organisations.find((organisation) => organisation.name === name)?.weight ?? DEFAULT_WEIGHT;
}
