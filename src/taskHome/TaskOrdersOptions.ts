import type { EventLog } from '../logging/index.js';
import type {
  LeasedTargetAddress,
  LeasedTargetPort,
  StartRefusal,
  TaskStart,
} from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { RunKey } from './RunKey.js';

/** Options of `TaskOrders`. */
export interface TaskOrdersOptions {
  readonly port: Pick<LeasedTargetPort, 'start' | 'stop'>;
  readonly term: number;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly getAddress: (targetId: string) => LeasedTargetAddress | undefined;
  /** Whether a target must be given no start any more: it leaves, or its room has shrunk. */
  readonly refusesStarts: (targetId: string) => boolean;
  /** Builds the start of a run; undefined where the run is not wanted any more. */
  readonly createStart: (key: RunKey) => TaskStart | undefined;
  /** Reading of a target's clock that came with an answer. */
  readonly onClock: (targetId: string, targetClockMs: number) => void;
  /** The run was never sent, and never will be. */
  readonly onWithdrawn: (key: RunKey) => void;
  /** The target did not start the run, and never will. */
  readonly onRefused: (key: RunKey, reason: StartRefusal) => void;
  /** The run is over without an end of its own in a report. */
  readonly onVanished: (key: RunKey) => void;
  readonly onOtherLifetime: (targetId: string) => void;
  readonly onStaleTerm: () => void;
}
