import type { StartRefusal } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { RunKey } from './RunKey.js';
import type { TargetCallOptions } from './TargetCallOptions.js';

/** Options of `TaskOrders`. */
export interface TaskOrdersOptions extends TargetCallOptions {
  readonly clock: Clock;
  /** Tells whether this instance is certain to be the home still. */
  readonly isGroupLeaseHeld: () => boolean;
  /**
   * Tells whether a target must not receive a start: it is draining, or its capacity has shrunk.
   */
  readonly refusesStarts: (targetId: string) => boolean;
  /** Called once when a run is known to have begun, by an answer or a report. */
  readonly onBegun: (key: RunKey) => void;
  /** Called when an answer tells that a target has just begun a run, with its clock. */
  readonly onStarted: (key: RunKey, targetClockMs: number) => void;
  /** Called when the start of a run was not sent and never will be. */
  readonly onWithdrawn: (key: RunKey) => void;
  /** Called when a target has refused a start; an earlier start may still take effect. */
  readonly onRefused: (key: RunKey, reason: StartRefusal) => void;
  /** Called when the target did not start a run and never will. */
  readonly onNeverBegins: (key: RunKey, reason: StartRefusal) => void;
  /** Called when a run is over although no report has contained its end. */
  readonly onVanished: (key: RunKey) => void;
  readonly onOtherLifetime: (targetId: string) => void;
  readonly onStaleTerm: () => void;
}
