/** Time from the order of a VM to its first task, in milliseconds; the move takes 1.5 s of it. */
export const VM_LEAD_MS = 2_000;
/**
 * Time that the stop of a run, the storing of the next placement and the start that follows take
 * together, in milliseconds.
 */
export const STOP_AND_START_MS = 500;
