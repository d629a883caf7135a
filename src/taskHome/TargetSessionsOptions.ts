import type { EventLog } from '../logging/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { LeaseLapses } from './LeaseLapses.js';
import type { RunKey } from './RunKey.js';
import type { TargetEntries } from './TargetEntry.js';
import type { TargetReport } from './TargetSession.js';
import type { TargetLossReason } from './TargetSessions.js';
import type { TaskHomeTiming } from './TaskHomeTiming.js';

/** Options of `TargetSessions`. */
export interface TargetSessionsOptions {
  readonly targets: LeasedTargetPort;
  readonly term: number;
  readonly timing: Pick<TaskHomeTiming, 'targetLeaseMs'>;
  /** Gets how long a target may delay its answer until a run ends, in milliseconds. */
  readonly getTargetWaitMs: () => number;
  /** Gets the time since the latest renewal was sent that the group has confirmed. */
  readonly getConfirmationAgeMs: () => number;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Targets of this home's pools as the platform lists them. */
  readonly getEntries: () => TargetEntries;
  /** What is known of leases that earlier homes have extended, and which may be extended now. */
  readonly lapses: Pick<
    LeaseLapses,
    'getInheritedLapseAtMs' | 'isRecorded' | 'mayExtend' | 'release'
  >;
  /** Lists the targets on which tasks are placed. */
  readonly listUsedTargets: () => ReadonlySet<string>;
  /**
   * Lists the runs on a target whose starts no report has confirmed that was requested at a time of
   * the monotonic clock or before.
   */
  readonly listUnconfirmedStarts: (targetId: string, sinceMs: number) => readonly RunKey[];
  /** Tells whether the latest report of a target shows runs that nobody wants there. */
  readonly hasUnwantedRuns: (targetId: string) => boolean;
  /** Tells whether runs are ordered on a target. */
  readonly hasRuns: (targetId: string) => boolean;
  readonly onReport: (targetId: string, report: TargetReport) => Promise<void>;
  /** Called when nothing runs on a target any more, as its lease or its lifetime is over. */
  readonly onGone: (targetId: string, reason: TargetLossReason) => void;
  readonly onStaleTerm: () => void;
}
