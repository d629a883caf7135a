import type { FleetHome } from '../fleetHome/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Organisation, QueuePools } from '../queues/index.js';
import type { KeyedLogPort } from '../store/index.js';
import type { Mechanisms } from '../systems/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import type { FleetHomeContext } from './FleetHomeContext.js';
import type { GroupMembershipOptions } from './GroupMembership.js';
import type { PoolPartitions } from './PoolPartitions.js';
import type { TargetDirectory } from './TargetDirectory.js';
import type { TaskHomeTiming } from './TaskHomeTiming.js';

/** Options of `TaskHomes`. */
export interface TaskHomesOptions extends Omit<
  GroupMembershipOptions,
  'leaseExtensionMs' | 'longestTtlMs' | 'getAnswerDelayMs' | 'onRenewed' | 'onLeaving'
> {
  readonly store: KeyedLogPort;
  readonly targets: LeasedTargetPort;
  readonly directory: TargetDirectory;
  readonly partitions: PoolPartitions;
  readonly homeTiming: TaskHomeTiming;
  /** Topic with the latest claimed term of each partition of the topic of jobs. */
  readonly termsTopic: string;
  /** Maximum size of an append, in bytes of record values. */
  readonly maxAppendBytes: number;
  /** Maximum size of a record, with its key, in bytes. */
  readonly maxRecordBytes: number;
  /** Speed of this instance's link, in megabits per second. */
  readonly linkMbps: number;
  readonly metrics: Metrics;
  readonly mechanisms: Mechanisms;
  /** Whether jobs are refused that would end too late to be of use; no if absent. */
  readonly refusesUnservableJobs?: boolean;
  /** The pools that queues have had. */
  readonly queuePools: QueuePools;
  /** Lists the organisations of the configuration in force. */
  readonly listOrganisations: () => readonly Organisation[];
  /** Creates the fleet's home on the instance that is the home of the fleet's partition. */
  readonly createFleetHome: (context: FleetHomeContext) => FleetHome;
}
