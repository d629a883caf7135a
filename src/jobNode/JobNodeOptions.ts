import type { WaveOrder, WaveStatus } from '../fleetHome/index.js';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { PeerAddress } from '../peers/index.js';
import type { QueueConfiguration } from '../queues/index.js';
import type { GroupPort, KeyedLogPort, KeyedRecord } from '../store/index.js';
import type { HomeCapacity, Mechanisms } from '../systems/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import type { TargetEntry } from '../taskHome/index.js';
import type { Clock, LoopLoad } from '../utils/index.js';
import type { VmFleetPort } from '../vms/index.js';

/** The outside systems that a node works with. */
export interface JobNodePorts {
  readonly store: KeyedLogPort;
  readonly groups: GroupPort;
  readonly targets: LeasedTargetPort;
  readonly vms: VmFleetPort;
}

/** Names of the topics of the store, and how their records are read and written. */
export interface JobNodeRecords {
  /** Topic of jobs; each pool has one of its partitions. */
  readonly jobsTopic: string;
  /** Topic of the terms in which homes write the topic of jobs, with as many partitions. */
  readonly termsTopic: string;
  readonly partitionCount: number;
  /** Topic of the pools that queues have had. */
  readonly queuePoolsTopic: string;
  /** Topic in which operators publish, with the key of the configuration. */
  readonly operatorsTopic: string;
  readonly configurationKey: string;
  /** Topic in which targets report themselves. */
  readonly targetsTopic: string;
  /** Topic in which the progress of waves is told. */
  readonly statusTopic: string;
  /**
   * Decodes a configuration.
   * @throws RattanliftError Of kind `settings-invalid` with the field at fault.
   */
  readonly decodeConfiguration: (value: Uint8Array) => QueueConfiguration;
  /** Decodes an order for a wave; undefined where the record holds none. */
  readonly decodeWaveOrder: (record: KeyedRecord) => WaveOrder | undefined;
  readonly encodeWaveStatus: (wave: number, status: WaveStatus) => KeyedRecord;
  /**
   * Decodes a target's report.
   * @throws Error If the record is none of a target.
   */
  readonly decodeTargetEntry: (record: KeyedRecord) => TargetEntry;
}

/** Bounds that the platform sets. */
export interface JobNodeBounds {
  /** Shortest time to live of a member of a group, in milliseconds. */
  readonly minMemberTtlMs: number;
  /** Longest lease that a target grants, in milliseconds. */
  readonly maxTargetLeaseMs: number;
  /** How long the state of a finished job can be read, in milliseconds. */
  readonly keepFinishedMs: number;
  /** Time between the orders of two holders for one VM, in milliseconds. */
  readonly orderLeaseMs: number;
  /** Maximum size of a record in the store, with its key, in bytes. */
  readonly maxRecordBytes: number;
}

/** Options of a node. */
export interface JobNodeOptions {
  /** Id of this start of the process, and where its peers reach it; port 0 takes a free one. */
  readonly address: PeerAddress;
  /** What this instance can carry. */
  readonly capacity: HomeCapacity;
  /** Name under which orders for VMs are given. */
  readonly holder: string;
  readonly ports: JobNodePorts;
  readonly records: JobNodeRecords;
  readonly bounds: JobNodeBounds;
  /** Mechanisms of the decisions that are on. */
  readonly mechanisms: Mechanisms;
  /** Whether jobs are refused that would end too late to be of use; no if absent. */
  readonly refusesUnservableJobs?: boolean;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** How much of the time the event loop is at work; measured if absent. */
  readonly loopLoad?: Pick<LoopLoad, 'measureShare'>;
}
