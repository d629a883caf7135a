import type { StartRefusal } from '../../src/targets/index.js';

/** What goes wrong at one target; each fault lasts until it is lifted. */
export interface LeasedTargetFaults {
  /** No call reaches the target. */
  isCutOff: boolean;
  /** Renewals, starts and stops are answered as by an unhealthy target, without effect. */
  isUnhealthy: boolean;
  /** Starts get no answer, and are carried out by `applyLateStarts`. */
  appliesStartsLate: boolean;
  /** Like `appliesStartsLate` for the first call of each run by each home; repeats are answered. */
  appliesFirstStartsLate: boolean;
  /** Starts are neither answered nor carried out before `applyLateStarts`, which does both. */
  delaysStarts: boolean;
  /** Starts are carried out, and their answers are lost. */
  losesStartAnswers: boolean;
  /**
   * Starts that arrive are refused for this reason, without effect. A run that is already there
   * counts as started, except where the target is unhealthy or can't read the call.
   */
  refusesStarts: StartRefusal | undefined;
  /** Stops are accepted, and what they stop goes on until `applyLateStops`. */
  stopsSlowly: boolean;
  /** Stops get no answer, and what they stop goes on. */
  losesStops: boolean;
  /** Stops get no answer, and are carried out by `applyLateStops`. */
  appliesStopsLate: boolean;
  /** Acknowledgements of ends have no effect, so that the target repeats its ends. */
  ignoresAcknowledgements: boolean;
  /** Reports describe the moment of the renewal, and arrive with `deliverLateReports`. */
  delaysReports: boolean;
}

/** Faults of a target that works. */
export const NO_FAULTS: LeasedTargetFaults = {
  isCutOff: false,
  isUnhealthy: false,
  appliesStartsLate: false,
  appliesFirstStartsLate: false,
  delaysStarts: false,
  losesStartAnswers: false,
  refusesStarts: undefined,
  stopsSlowly: false,
  losesStops: false,
  appliesStopsLate: false,
  ignoresAcknowledgements: false,
  delaysReports: false,
};
