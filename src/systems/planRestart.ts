import { STOP_AND_START_MS } from './leadTimes.js';

/** A run on a slow target. */
export interface LateRun {
  readonly progressPercent: number;
  /** Progress of the run in the measured span, in percent of the whole task. */
  readonly donePercent: number;
  /** Length of the measured span, in milliseconds. */
  readonly elapsedMs: number;
  /** How long the whole task takes on other targets, in milliseconds. */
  readonly wholeElsewhereMs: number;
  /** Whether a stop saves the progress, so that the next run continues from it. */
  readonly isCheckpointing: boolean;
}

/** Expected rest of a task, if it goes on and if it is started again. */
export interface ExpectedRest {
  readonly hereMs: number;
  /** Includes the stop, the storing of the next placement, and its start. */
  readonly elsewhereMs: number;
  /** Whether the task ends sooner elsewhere, also if that run is one of the longer ones. */
  readonly isSoonerElsewhere: boolean;
}

/** Tasks of one step take up to a third longer than their mean. */
const LONGEST_TASK_FACTOR = 4 / 3;
const WHOLE_PERCENT = 100;

/**
 * Compares the rest of a run on a slow target with a run elsewhere, from its checkpoint or from the
 * beginning.
 * @param run - The run.
 * @returns Both rests, and which is shorter.
 */
export function planRestart(run: LateRun): ExpectedRest {
  const { progressPercent, donePercent, elapsedMs, wholeElsewhereMs, isCheckpointing } = run;
  const restPercent = WHOLE_PERCENT - progressPercent;
  const hereMs = donePercent > 0 ? (restPercent * elapsedMs) / donePercent : Infinity;
  const openShare = isCheckpointing ? restPercent / WHOLE_PERCENT : 1;
  const elsewhereMs = STOP_AND_START_MS + wholeElsewhereMs * openShare;
  const latestMs = STOP_AND_START_MS + wholeElsewhereMs * openShare * LONGEST_TASK_FACTOR;
  return { hereMs, elsewhereMs, isSoonerElsewhere: latestMs < hereMs };
}
