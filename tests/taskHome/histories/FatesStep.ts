import fc from 'fast-check';
import type { CallFate, FatedCall } from '../../../standins/leasedTargets/CallFate.js';

/** Something happens to the next calls of a kind to a target. */
export interface FatesStep {
  readonly type: 'fates';
  readonly target: number;
  readonly call: FatedCall;
  /** What happens to the next such calls, one after the other. */
  readonly fates: readonly CallFate[];
}

const MAX_FATE_COUNT = 3;

/** Draws how a call is lost on its way. */
export const lostCall: fc.Arbitrary<CallFate> = fc.constantFrom<CallFate>(
  { type: 'request-lost' },
  { type: 'answer-lost' },
);

/**
 * Draws how a call is held up on its way.
 * @param afterMs - For how long, in milliseconds.
 * @returns The arbitrary.
 */
export function drawSlowCall(afterMs: fc.Arbitrary<number>): fc.Arbitrary<CallFate> {
  return fc.record({ type: fc.constant('slow'), afterMs });
}

/**
 * Draws what happens to calls.
 * @param target - Number that picks the target.
 * @param calls - Kinds of calls.
 * @param fate - What happens to one of them.
 * @returns The arbitrary.
 */
export function drawFates(
  target: fc.Arbitrary<number>,
  calls: readonly FatedCall[],
  fate: fc.Arbitrary<CallFate>,
): fc.Arbitrary<FatesStep> {
  return fc.record({
    type: fc.constant('fates'),
    target,
    call: fc.constantFrom(...calls),
    fates: fc.array(fate, { minLength: 1, maxLength: MAX_FATE_COUNT }),
  });
}

/**
 * Lists the steps in which one call less is concerned.
 * @param step - The step.
 * @returns The steps; none if it concerns one call alone.
 */
export function listFewerFates(step: FatesStep): readonly FatesStep[] {
  if (step.fates.length === 1) return [];
  return step.fates.map((_fate, place) => ({ ...step, fates: step.fates.toSpliced(place, 1) }));
}
