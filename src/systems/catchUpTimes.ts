/** Time in which a backlog is to be completed, in ms: objectives allow 1 to 2 s. */
export const CATCH_UP_MS = 2_000;
/**
 * Time in which work that is too late for its objective is to be completed, in ms. Such work has a
 * tenth of its value; with 2 s it kept 20 VMs in a pool after its load peak, for 4 s of the next
 * peak.
 */
export const LATE_CATCH_UP_MS = 10_000;
