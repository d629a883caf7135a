import type { RunKey } from './RunKey.js';

/**
 * State of an order. `unanswered` means that the target may have started the run, or may do so
 * later; `stop-unanswered` means the same for a stop. `stopped` means that the target has accepted
 * the stop, so that it refuses a late start.
 */
export type OrderPhase =
  'unsent' | 'starting' | 'unanswered' | 'started' | 'stopping' | 'stop-unanswered' | 'stopped';

/** Phases of a run that is being stopped. */
export const STOP_PHASES: ReadonlySet<OrderPhase | undefined> = new Set([
  'stopping',
  'stop-unanswered',
  'stopped',
]);

/** A run that was ordered from a target. */
export interface OrderedRun extends RunKey {
  /** Whether its start was sent, so that the target may have begun it. */
  readonly isSent: boolean;
  /** Whether the target is known to run it, and it is not being stopped. */
  readonly isRunning: boolean;
  /** Since when the target is known to run it, by the monotonic clock. */
  readonly begunAtMs: number | undefined;
}

/** An order for a run, from its placement to its end. */
export interface RunOrder extends RunKey {
  phase: OrderPhase;
  /** Since when the target is known to run it, by the monotonic clock. */
  begunAtMs: number | undefined;
  /** Monotonic time of the last answer; a report that is requested later shows the run. */
  answeredAtMs: number;
  /** Whether a start of this home, or perhaps of an earlier one, got no answer. */
  hasUnansweredStart?: boolean;
}

/**
 * Creates a read-only view of an order.
 * @param order - The order.
 * @returns The run and its known state.
 */
export function describeOrder({ taskName, run, targetId, phase, begunAtMs }: RunOrder): OrderedRun {
  const isSent = phase !== 'unsent';
  return { taskName, run, targetId, isSent, isRunning: phase === 'started', begunAtMs };
}
