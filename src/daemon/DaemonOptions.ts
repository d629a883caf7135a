import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { DaemonConfig } from './DaemonConfig.js';

/** Options of a daemon. */
export interface DaemonOptions {
  readonly config: DaemonConfig;
  /** Name of this start of the process; no other start ever has it. */
  readonly instance: string;
  readonly events: EventLog;
  readonly metrics: Metrics;
}
