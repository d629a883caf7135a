/** Time in which a backlog is to be completed, in ms: objectives allow 1 to 2 s. */
export const CATCH_UP_MS = 2_000;
/**
 * Time in which work that is too late for its objective is to be completed, in ms: the callers who
 * still wait get their answers, but the work doesn't hold VMs that others need in time.
 */
export const LATE_CATCH_UP_MS = 10_000;
