import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Mechanisms } from '../systems/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { TargetEntries } from './TargetEntry.js';
import type { TargetSessions } from './TargetSessions.js';

/** Options of `TaskRuns`. */
export interface TaskRunsOptions {
  readonly targets: LeasedTargetPort;
  readonly term: number;
  readonly table: JobTable;
  /** Gets the sessions with the targets, which are created after the runs. */
  readonly getSessions: () => TargetSessions;
  /** Lists the targets that the platform knows. */
  readonly getEntries: () => TargetEntries;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly telemetry: JobTelemetry;
  readonly mechanisms: Mechanisms;
  /** Tells whether this instance is certain to be the home still. */
  readonly isGroupLeaseHeld: () => boolean;
  /** Called when a job has changed, so that it is stored and the tasks that fit are placed. */
  readonly onChanged: () => void;
  /** Called when a target has seen a later term. */
  readonly onStaleTerm: () => void;
}
