import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Organisation, QueuePools } from '../queues/index.js';
import type { KeyedLogPort } from '../store/index.js';
import type { Mechanisms } from '../systems/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { ClaimedTerm } from './PartitionTerms.js';
import type { TargetEntries } from './TargetEntry.js';
import type { TaskHomeTiming } from './TaskHomeTiming.js';

/** The partition of a home, its claimed term, and the ports that it uses. */
export interface TaskHomeOptions {
  readonly store: KeyedLogPort;
  readonly targets: LeasedTargetPort;
  readonly topic: string;
  readonly partition: number;
  readonly producer: string;
  readonly claimed: ClaimedTerm;
  /** Maximum size of an append, in bytes of record values; absent on a link of default speed. */
  readonly maxAppendBytes?: number;
  /** Maximum size of a record, with its key, in bytes; no bound if absent. */
  readonly maxRecordBytes?: number;
  readonly timing: TaskHomeTiming;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly mechanisms: Mechanisms;
  /** Whether jobs are refused that would end too late to be of use; no if absent. */
  readonly refusesUnservableJobs?: boolean;
  readonly getEntries: () => TargetEntries;
  /** The pools that queues have had, which may have jobs that are unknown here. */
  readonly queuePools: QueuePools;
  /** Lists the organisations of the configuration in force. */
  readonly listOrganisations: () => readonly Organisation[];
  /** Whether this instance is certain to be the home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
  /** Whether this instance may extend leases of targets, for some time beyond that. */
  readonly mayExtendLeases: () => boolean;
  /**
   * Gets the time since the latest renewal of the membership was sent that the group has confirmed,
   * in milliseconds. Since then, the group may have given the partition to another instance.
   */
  readonly getConfirmationAgeMs: () => number;
  /** Called once when another home has taken over. */
  readonly onReplaced: () => void;
}
