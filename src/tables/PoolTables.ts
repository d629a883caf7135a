import type { PoolSettings } from '../settings/index.js';
import type { GrantRow, QueuedRow, VmRow } from './entities.js';
import { Table } from './Table.js';
import { createWaveStepTable, createWaveTable } from './waveTables.js';

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
  /** Latest measured run times, oldest first. */
  readonly recentRunMs: readonly number[];
  /** Latest measured memory sizes, oldest first. */
  readonly recentMemoryMb: readonly number[];
}

/** What a home has learned of a VM. */
export interface VmHealthRow {
  readonly vm: string;
  /** Kinds of job that failed on the VM since its last success. */
  readonly failedJobKinds: readonly string[];
  /** Ids of the requests that failed on the VM since its last success. */
  readonly failedRequestIds: readonly string[];
  /** Monotonic time of the latest failure. */
  readonly lastFailedAtMs: number;
  /** Monotonic time until which the VM gets no work; undefined where it is trusted. */
  readonly quarantinedUntilMs: number | undefined;
  /** Quarantines since the VM's last success; each one lasts longer. */
  readonly quarantineCount: number;
}

/** A VM that the pool has lost unplanned, and since when. */
export interface VmLossRow {
  readonly vm: string;
  /** Monotonic time at which the loss was first seen. */
  readonly sinceMs: number;
}

/** A running grant that was told to make room for urgent work. */
export interface PreemptionRow {
  readonly grantId: string;
  readonly action: 'checkpoint' | 'throttle';
  /** Monotonic time of the decision. */
  readonly decidedAtMs: number;
}

/** Failures of a wave that an operator accepted when resuming it. */
export interface WaveWatchRow {
  readonly wave: string;
  /** VMs whose failed step or loss no longer counts against the wave. */
  readonly forgivenVms: readonly string[];
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

  readonly waves = createWaveTable();

  /** Steps of the pool's VMs in running and paused waves. */
  readonly waveSteps = createWaveStepTable();

  readonly losses = new Table<string, VmLossRow>({
    entity: 'loss of VM',
    missingKind: 'unknown-vm',
    keyOf: (row) => row.vm,
  });

  readonly preemptions = new Table<string, PreemptionRow>({
    entity: 'preemption of grant',
    missingKind: 'unknown-job',
    keyOf: (row) => row.grantId,
  });

  readonly waveWatches = new Table<string, WaveWatchRow>({
    entity: 'watch over wave',
    missingKind: 'unknown-wave',
    keyOf: (row) => row.wave,
  });

  private surplusStartMs: number | undefined = undefined;

  /**
   * Creates the empty state of a pool.
   * @param pool - Pool as `team/pool`.
   * @param settings - Settings in force.
   */
  constructor(pool: string, settings: PoolSettings) {
    this.pool = pool;
    this.settings = settings;
  }

  /** Monotonic time since which the pool has had VMs to spare; undefined while it has none. */
  get surplusSinceMs(): number | undefined {
    return this.surplusStartMs;
  }

  /**
   * Notes since when the pool has had VMs to spare.
   * @param sinceMs - Monotonic time in milliseconds, or undefined where it has none.
   */
  noteSurplus(sinceMs: number | undefined): void {
    this.surplusStartMs = sinceMs;
  }
}
