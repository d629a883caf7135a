import type { TaskStart } from '../targets/index.js';
import type { PlacedTask } from './JobTable.js';
import type { RunKey } from './RunKey.js';

/** Lease and term that a start carries from the home that sends it. */
export interface StartLease {
  /** End of the target's lease, on the target's own clock. */
  readonly leaseUntilTargetMs: number;
  readonly term: number;
}

/**
 * Builds the start of a placed task.
 * @param key - The run.
 * @param placed - The task.
 * @param terms - Lease and term.
 * @returns The start to send to the target.
 */
export function createTaskStart(
  { taskName, run }: RunKey,
  { row, position }: PlacedTask,
  { leaseUntilTargetMs, term }: StartLease,
): TaskStart {
  return {
    taskName,
    run,
    payload: row.spec.payload,
    leaseUntilTargetMs,
    term,
    checkpoint: row.tasks[position]!.checkpoint,
    ticket: undefined,
  };
}
