import type { PoolSettings } from '../settings/index.js';
import type { GrantRow, QueuedRow, VmRow, WaveRow, WaveStepRow } from './entities.js';
import { Table } from './Table.js';

/** A VM of a pool as its home sees it. */
export interface PoolVmRow extends VmRow {
  /**
   * Why the VM gets new work or not: `draining` by an operator, a wave or the platform,
   * `unreachable` when its probes fail, `absent` when the platform's list lost it.
   */
  readonly condition: 'accepting' | 'draining' | 'unreachable' | 'absent';
}

/** What a home has learned of a kind of job on a pool. */
export interface JobKindHistoryRow {
  readonly jobKind: string;
  readonly runCount: number;
  /** Upper quantile of measured run times. */
  readonly runMs: number;
  /** Upper quantile of measured memory, never below a floor from the declaration. */
  readonly memoryMb: number;
}

/** What a home has learned of a VM. */
export interface VmHealthRow {
  readonly vm: string;
  /** Kinds of job that failed on the VM since its last success. */
  readonly failedJobKinds: readonly string[];
  /** Ids of the requests that failed on the VM since its last success. */
  readonly failedRequestIds: readonly string[];
  /** Monotonic time until which the VM gets no work; undefined where it is trusted. */
  readonly quarantinedUntilMs: number | undefined;
}

/** State of one pool at its home; the systems read and change nothing else. */
export class PoolTables {
  /** Pool as `team/pool`. */
  readonly pool: string;

  /** Settings in force for the pool. */
  settings: PoolSettings;

  readonly vms = new Table<string, PoolVmRow>({
    entity: 'VM of the pool',
    missingKind: 'unknown-vm',
    keyOf: (row) => row.vm,
  });

  readonly grants = new Table<string, GrantRow>({
    entity: 'grant',
    missingKind: 'unknown-job',
    keyOf: (row) => row.grantId,
  });

  readonly queue = new Table<string, QueuedRow>({
    entity: 'queued request',
    missingKind: 'unknown-job',
    keyOf: (row) => row.attemptId,
  });

  readonly history = new Table<string, JobKindHistoryRow>({
    entity: 'history of job kind',
    keyOf: (row) => row.jobKind,
  });

  readonly health = new Table<string, VmHealthRow>({
    entity: 'health of VM',
    missingKind: 'unknown-vm',
    keyOf: (row) => row.vm,
  });

  readonly waves = new Table<string, WaveRow>({
    entity: 'wave',
    missingKind: 'unknown-wave',
    keyOf: (row) => row.wave,
  });

  /** Steps of the pool's VMs in running and paused waves. */
  readonly waveSteps = new Table<string, WaveStepRow>({
    entity: 'wave step',
    missingKind: 'unknown-wave',
    keyOf: (row) => `${row.wave}/${row.vm}`,
  });

  /**
   * Creates the empty state of a pool.
   * @param pool - Pool as `team/pool`.
   * @param settings - Settings in force.
   */
  constructor(pool: string, settings: PoolSettings) {
    this.pool = pool;
    this.settings = settings;
  }
}
