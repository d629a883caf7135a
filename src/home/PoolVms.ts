import type { VmDirectory } from '../fleet/index.js';
import type { LogWriter } from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { VmPort } from '../platform/index.js';
import { checkBudget, planCapacity, planWaveSteps, type WaveProgress } from '../systems/index.js';
import type { FleetTables, PoolTables } from '../tables/index.js';
import type { TargetPort } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import { CapacityRunner } from './CapacityRunner.js';
import { DrainRunner } from './DrainRunner.js';
import { findFailedRacks } from './findFailedRacks.js';
import { syncPoolTables } from './syncPoolTables.js';
import { VmProber } from './VmProber.js';
import { WaveRunner } from './WaveRunner.js';

/** Options of {@link PoolVms}. */
export interface PoolVmsOptions {
  readonly tables: PoolTables;
  readonly instance: string;
  /** Term in which this instance is the home of the pool. */
  readonly term: number;
  readonly fleet: FleetTables;
  readonly directory: VmDirectory;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly vmPort: VmPort;
  readonly targets: TargetPort;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns whether this instance holds its lease now. */
  readonly holdsLease: () => boolean;
}

/** State of a pool that its home reports to operators. */
export interface PoolState {
  readonly runningJobCount: number;
  readonly queuedJobCount: number;
  readonly usableSlotCount: number;
  readonly acceptingVmCount: number;
  readonly vmCount: number;
  readonly budget: string;
  readonly waveWaitReasons: readonly string[];
}

/** Minimum time between two rounds of wave and capacity planning. */
const PLAN_EVERY_MS = 250;
const PROBE_EVERY_MS = 1_000;
const MINUTE_MS = 60_000;
const MINUTES_PER_DAY = 1_440;

/** Manages the VMs of a pool at its home: their condition, waves, moves and drains. */
export class PoolVms {
  private readonly options: PoolVmsOptions;

  private readonly tables: PoolTables;

  private readonly waveRunner: WaveRunner;

  private readonly capacityRunner: CapacityRunner;

  private readonly drainRunner: DrainRunner;

  private readonly prober: VmProber;

  private syncedOffset = -1;

  private syncedListVersion = -1;

  private planAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates the manager and its runners.
   * @param options - Pool, term and dependencies.
   */
  constructor(options: PoolVmsOptions) {
    this.options = options;
    this.tables = options.tables;
    const { targets, clock, events, directory } = options;
    const shared = { ...options, getVm: directory.get.bind(directory) };
    this.waveRunner = new WaveRunner(shared);
    this.capacityRunner = new CapacityRunner(shared);
    this.drainRunner = new DrainRunner(shared);
    this.prober = new VmProber({
      targets,
      clock,
      events,
      probeEveryMs: PROBE_EVERY_MS,
      onDraining: (vm) => this.undrainIfAccepting(vm),
    });
  }

  /**
   * Probes a VM because a request to it ended without an answer.
   * @param vm - Name of the VM.
   */
  suspect(vm: string): void {
    const row = this.options.directory.get(vm);
    if (row !== undefined) this.prober.suspect(row);
  }

  /**
   * Runs due probes, and plans waves, drains and moves at most every {@link PLAN_EVERY_MS}.
   * @param fleetProgress - Progress of each wave over all pools.
   */
  tick(fleetProgress: ReadonlyMap<string, WaveProgress>): void {
    this.prober.tick();
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.planAtMs) return;
    this.planAtMs = nowMs + PLAN_EVERY_MS;
    this.sync();
    this.report();
    // A home that has lost its lease must not move or reboot VMs while its successor does so too.
    if (!this.options.holdsLease() || !this.options.directory.isLoaded) return;
    this.planWaves(nowMs, fleetProgress);
    this.drainRunner.tick();
    this.planMoves(nowMs);
  }

  /**
   * Gets the state of the pool for operators.
   * @returns Counts, and whether the pool is within its availability budget.
   */
  getState(): PoolState {
    const verdict = checkBudget(this.tables, { nowMs: this.options.clock.monotonicMs() });
    return {
      ...this.getCounts(),
      budget: verdict.type === 'within' ? 'within' : verdict.reason,
      waveWaitReasons: this.tables.waves
        .list()
        .flatMap(({ wave }) => this.waveRunner.getWaitReason(wave) ?? []),
    };
  }

  /**
   * Describes the state of the pool in one line for operators.
   * @returns Counts, the budget and the reasons why waves wait, from {@link getState}.
   */
  describe(): string {
    const state = this.getState();
    const vms = `${state.acceptingVmCount} of ${state.vmCount} VMs take work`;
    const jobs = `${state.runningJobCount} jobs run, ${state.queuedJobCount} wait`;
    return [vms, jobs, `budget: ${state.budget}`, ...state.waveWaitReasons].join('; ');
  }

  /**
   * Gets why a wave waits in the pool.
   * @param wave - The wave.
   * @returns One line, or none if the wave does not wait in this pool.
   */
  getWaveReasons(wave: string): readonly string[] {
    const reason = this.waveRunner.getWaitReason(wave);
    return reason === undefined ? [] : [`${this.tables.pool} waits: ${reason}`];
  }

  /** Updates the tables if the log or the platform's VM list has changed since the last update. */
  syncIfChanged(): void {
    const { fleet, directory } = this.options;
    const isCurrent =
      fleet.nextOffset === this.syncedOffset && directory.version === this.syncedListVersion;
    if (!isCurrent) this.sync();
  }

  /** Updates the tables from the log and the platform's VM list. */
  sync(): void {
    const { fleet, directory } = this.options;
    this.syncedOffset = fleet.nextOffset;
    this.syncedListVersion = directory.version;
    const withheldVms = new Set([
      ...this.waveRunner.withheldVms,
      ...this.capacityRunner.withheldVms,
    ]);
    const isUnreachable = this.prober.isUnreachable.bind(this.prober);
    const known = new Set(this.tables.vms.list().map((vm) => vm.vm));
    syncPoolTables({ tables: this.tables, fleet, directory, withheldVms, isUnreachable });
    this.tables.vms
      .list()
      .filter((vm) => !known.has(vm.vm) && vm.condition === 'accepting')
      .forEach((vm) => this.prober.suspect(vm));
  }

  private report(): void {
    const { metrics } = this.options;
    const tags = { pool: this.tables.pool };
    const { usableSlotCount, runningJobCount } = this.getCounts();
    metrics.gauge('queue_length', this.tables.queue.size, tags);
    metrics.gauge('slots_free', Math.max(0, usableSlotCount - runningJobCount), tags);
  }

  private planWaves(nowMs: number, fleetProgress: ReadonlyMap<string, WaveProgress>): void {
    const { clock, directory } = this.options;
    const minuteOfDay = Math.floor(clock.wallMs() / MINUTE_MS) % MINUTES_PER_DAY;
    const failedRacks = findFailedRacks(this.tables.waves.size > 0 ? directory.list() : []);
    const options = { nowMs, minuteOfDay, fleetProgress, failedRacks };
    this.waveRunner.apply(planWaveSteps(this.tables, options));
    this.waveRunner.tick();
  }

  private planMoves(nowMs: number): void {
    if (this.capacityRunner.isBusy) return;
    const { directory, fleet } = this.options;
    const unassignedVms = directory
      .list()
      .filter((vm) => vm.state === 'live')
      .filter((vm) => fleet.assignments.get(vm.vm)?.pool === undefined);
    this.capacityRunner.apply(planCapacity(this.tables, { nowMs, unassignedVms }));
  }

  private getCounts(): Omit<PoolState, 'budget' | 'waveWaitReasons'> {
    const vms = this.tables.vms.list();
    const accepting = vms.filter((vm) => vm.condition === 'accepting');
    return {
      runningJobCount: this.tables.grants.size,
      queuedJobCount: this.tables.queue.size,
      usableSlotCount: accepting.reduce((sum, vm) => sum + vm.slotCount, 0),
      acceptingVmCount: accepting.length,
      vmCount: vms.length,
    };
  }

  /**
   * Undrains a VM whose probe reports that it is draining although it should accept work.
   *
   * This happens when a drain is cancelled while the pool changes homes, or when a step ends as
   * failed and its VM comes back later. No instance then remembers the drain, and the VM refuses
   * every task although the pool counts its slots.
   */
  private undrainIfAccepting(vm: string): void {
    this.sync();
    const isAccepting = this.tables.vms.get(vm)?.condition === 'accepting';
    if (!isAccepting || !this.options.holdsLease()) return;
    void this.options.vmPort.undrain(vm).catch(() => undefined);
  }
}
