import type { StartRefusal } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { RunKey } from './RunKey.js';
import type { TargetCalls } from './TargetCalls.js';

/** Options of `TaskOrders`. */
export interface TaskOrdersOptions extends TargetCalls {
  readonly clock: Clock;
  /** Whether a target must be given no start any more: it leaves, or its room has shrunk. */
  readonly refusesStarts: (targetId: string) => boolean;
  /** The run was never sent, and never will be. */
  readonly onWithdrawn: (key: RunKey) => void;
  /** The target did not start the run, and never will. */
  readonly onRefused: (key: RunKey, reason: StartRefusal) => void;
  /** The run is over without an end of its own in a report. */
  readonly onVanished: (key: RunKey) => void;
  readonly onOtherLifetime: (targetId: string) => void;
  readonly onStaleTerm: () => void;
}
