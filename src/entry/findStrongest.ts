import type { Outcome } from '../errors/index.js';

const OUTCOMES_BY_STRENGTH: readonly Outcome[] = ['not-run', 'unknown', 'run'];

/**
 * Finds what became of a request from what became of two of its attempts.
 * @param one - Outcome of one attempt.
 * @param other - Outcome of the other.
 * @returns The one that says more of the request having run.
 */
export function findStrongest(one: Outcome, other: Outcome): Outcome {
  const strengthOf = (outcome: Outcome) => OUTCOMES_BY_STRENGTH.indexOf(outcome);
  return strengthOf(one) >= strengthOf(other) ? one : other;
}
