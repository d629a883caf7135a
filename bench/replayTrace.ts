import { makeOurs } from './policies/fleetPolicies.js';
import { OURS } from './policies/placementPolicies.js';
import {
  bufferFigures,
  overloadFigures,
  placementFigures,
  replayBuffers,
  replayPlacement,
  replayWaves,
  speedUp,
  waveFigures,
} from './subjects/index.js';
import type { Trace } from './traces/index.js';
import { assertNever } from '../src/utils/index.js';

/** Load at which overload traces are replayed, in multiples of what the pool can carry. */
const OVERLOAD_FACTOR = 2;

/** What a replay of a trace through the product's systems gave. */
export interface ReplayResult {
  readonly figures: Readonly<Record<string, number>>;
  readonly brokenPromises: readonly string[];
}

/**
 * Replays a trace through the product's systems.
 * @param trace - Recorded or generated.
 * @returns Its figures, and the promises that were broken.
 */
export function replayTrace(trace: Trace): ReplayResult {
  switch (trace.head.subject) {
    case 'placement': {
      const outcome = replayPlacement(trace, OURS);
      return { figures: placementFigures(outcome), brokenPromises: outcome.brokenPromises };
    }
    case 'overload': {
      const outcome = replayPlacement(speedUp(trace, OVERLOAD_FACTOR), OURS);
      return { figures: overloadFigures(outcome), brokenPromises: outcome.brokenPromises };
    }
    case 'waves': {
      const outcome = replayWaves(trace, makeOurs());
      return { figures: waveFigures(outcome), brokenPromises: outcome.brokenPromises };
    }
    case 'buffers': {
      const outcome = replayBuffers(trace, makeOurs());
      return { figures: bufferFigures(outcome), brokenPromises: outcome.brokenPromises };
    }
    default:
      return assertNever(trace.head.subject);
  }
}
