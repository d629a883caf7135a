/** Time in which work that was left behind is caught up, in ms: objectives allow 1 to 2 s. */
export const CATCH_UP_MS = 2_000;
/**
 * Time in which work is caught up that is too late for its objective, in ms. It is worth a tenth by
 * then; with 2 s it held 20 VMs in a pool whose rush was over, for 4 s of the next rush.
 */
export const LATE_CATCH_UP_MS = 10_000;
