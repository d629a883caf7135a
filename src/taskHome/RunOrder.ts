import type { RunLife } from '../systems/index.js';
import type { RunKey } from './RunKey.js';

/** A run that was ordered from a target. */
export interface OrderedRun extends RunKey {
  /** Whether a start may have reached the target, so that it may have begun the run. */
  readonly isSent: boolean;
  /** Whether the target is known to run it, and it is not being stopped. */
  readonly isRunning: boolean;
  /** Since when the target is known to run it, by the monotonic clock. */
  readonly begunAtMs: number | undefined;
}

/** An order for a run, from its placement to its end. */
export interface RunOrder extends RunKey {
  /** What is known of the run. */
  life: RunLife;
  /** Whether the target may have received a start of this or an earlier home. */
  hasReceivedStart: boolean;
  /** Since when the target is known to run it, by the monotonic clock. */
  begunAtMs: number | undefined;
  /** Monotonic time of the last answer; a report that is requested later shows the run. */
  answeredAtMs: number;
}

/**
 * Creates a read-only view of an order.
 * @param order - The order.
 * @returns The run and its known state.
 */
export function describeOrder(order: RunOrder): OrderedRun {
  const { taskName, run, targetId, life, hasReceivedStart, begunAtMs } = order;
  const isSent = hasReceivedStart || life.phase === 'starting';
  const isRunning = life.phase === 'started';
  return { taskName, run, targetId, isSent, isRunning, begunAtMs };
}
