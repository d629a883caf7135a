import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { KeyedRecord } from '../store/index.js';
import {
  indexLoads,
  type LimitOrder,
  type Mechanisms,
  type PoolDemand,
  type PoolPeak,
  type TargetLoad,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { Organisation } from '../queues/index.js';
import type { EndedTargets, FleetVm, VmFleetPort } from '../vms/index.js';
import { FleetMoves } from './FleetMoves.js';
import { LifetimeEndDetector } from './LifetimeEndDetector.js';
import { listDrainedTargets } from './listDrainedTargets.js';
import { MovePlanner } from './MovePlanner.js';
import { OrganisationLimits } from './OrganisationLimits.js';
import { PeakForecaster } from './PeakForecaster.js';
import type { PeakForecastRecord } from './PeakForecastRecord.js';
import { PoolReporter } from './PoolReporter.js';
import { StoredPoolPeaks } from './StoredPoolPeaks.js';
import type { VmOrderRecord } from './VmOrderRecord.js';
import { VmOrders } from './VmOrders.js';
import { WaveCoordinator } from './WaveCoordinator.js';
import type { WaveOrder } from './WaveOrder.js';
import type { WaveRecord, WaveStatus } from './WaveRecord.js';

/** Options of {@link FleetHome}. */
export interface FleetHomeOptions {
  readonly port: VmFleetPort;
  /** Gets the listed lifetime of a target by the id under which the target reports itself. */
  readonly getLifetimeId: (instance: string) => string;
  readonly holder: string;
  readonly term: number;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly mechanisms: Mechanisms;
  /** Minimum time between the orders of two holders for one VM, in milliseconds. */
  readonly orderLeaseMs: number;
  /** Progress of the waves, as stored by an earlier home. */
  readonly waveRecords: readonly WaveRecord[];
  /** Peak VM count of each pool, as stored by earlier homes. */
  readonly peakRecords: readonly PoolPeak[];
  /** What earlier homes have learned about peaks that recur. */
  readonly forecastRecords: readonly PeakForecastRecord[];
  /** Latest orders for VMs, as stored by earlier homes. */
  readonly orderRecords: readonly VmOrderRecord[];
  readonly listWaveOrders: () => readonly WaveOrder[];
  /** Lists the pools whose VMs run tasks. */
  readonly listPools: () => readonly string[];
  /** Lists the pools whose VMs are switched off until they are moved to another pool. */
  readonly listStandbyPools: () => readonly string[];
  readonly listOrganisations: () => readonly Organisation[];
  /** Whether this instance is certain to be the fleet's home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
  /**
   * Sends the drained targets, the ended lifetimes and the parts of limits of a pool to its home
   * and requests the pool's demand.
   * @returns The demand, or undefined if no home answered.
   */
  readonly syncPool: (
    pool: string,
    drainedTargets: readonly string[],
    ended: EndedTargets,
    limits?: LimitOrder,
  ) => Promise<PoolDemand | undefined>;
  /** Stores records of this home; rejects if the home has been replaced. */
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
  readonly publishStatus: (wave: number, status: WaveStatus) => Promise<void>;
  readonly onReplaced: () => void;
}

/** Pause between two passes, in milliseconds: short against the time that a VM takes to move. */
const PASS_INTERVAL_MS = 200;

/** Orders the moves and the maintenance of VMs. A term has one home of the fleet. */
export class FleetHome {
  private readonly options: FleetHomeOptions;

  private readonly orders: VmOrders;

  private readonly waves: WaveCoordinator;

  private readonly moves: FleetMoves;

  private readonly lifetimeEndDetector: LifetimeEndDetector;

  /** The VMs as listed last. */
  private vms: readonly FleetVm[] = [];

  private demands: readonly PoolDemand[] = [];

  private isClosed = false;

  private readonly listOutage: OutageLog;

  private readonly poolReporter: PoolReporter;

  private readonly peaks: StoredPoolPeaks;

  private readonly peakForecaster: PeakForecaster;

  private readonly limits: OrganisationLimits;

  /**
   * Creates a home, which is inactive until {@link start} is called.
   * @param options - VM platform, pools, waves and stored state.
   */
  constructor(options: FleetHomeOptions) {
    this.options = options;
    const { events, waveRecords } = options;
    this.listOutage = new OutageLog({
      events,
      lost: 'vmListUnreachable',
      regained: 'vmListReachable',
    });
    this.limits = new OrganisationLimits(options);
    this.poolReporter = new PoolReporter(options);
    this.peaks = new StoredPoolPeaks(options);
    this.peakForecaster = new PeakForecaster(options);
    const onStaleTerm = (): void => this.options.onReplaced();
    this.orders = new VmOrders({ ...options, onStaleTerm });
    const hasActiveOrder = (vm: string): boolean => this.orders.hasActiveOrder(vm);
    this.lifetimeEndDetector = new LifetimeEndDetector({ ...options, hasActiveOrder });
    this.waves = new WaveCoordinator({ ...options, orders: this.orders, records: waveRecords });
    this.moves = new FleetMoves({
      ...options,
      orders: this.orders,
      waves: this.waves,
      planner: new MovePlanner({ ...options, peaks: this.peaks.peaks }),
      listExpectedPeaks: () => this.peakForecaster.listExpectedPeaks(),
      requestLoads: (pools) => this.refreshLoads(pools),
    });
  }

  /** Starts the periodic passes over the fleet. */
  start(): void {
    void this.run();
  }

  /** Stops the passes; orders in progress are not revoked. */
  close(): void {
    this.isClosed = true;
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- passes are sequential
      await this.runPass().catch((thrown: unknown) => {
        this.options.events.write('fleetLookFailed', { reason: String(thrown) });
      });
      // eslint-disable-next-line no-await-in-loop -- the pause separates two passes
      await sleep(PASS_INTERVAL_MS);
    }
  }

  private async runPass(): Promise<void> {
    const askedAtMs = this.options.clock.monotonicMs();
    const vms = await this.listVms();
    if (vms === undefined || this.isClosed) return;
    this.vms = vms;
    this.orders.endCompletedOrders(vms, askedAtMs);
    void this.orders.settle();
    this.demands = await this.requestLoads(vms, this.options.listPools());
    await this.raiseLimits(vms);
    if (this.isClosed) return;
    this.poolReporter.report(this.demands, vms, this.moves.listHeldVms());
    this.peakForecaster.observe(this.demands, this.peaks.list());
    this.peaks.record(this.demands);
    await this.waves.advance(vms, this.getLoads());
    await this.moves.advance({ vms, demands: this.demands, loads: this.getLoads() });
  }

  private async listVms(): Promise<readonly FleetVm[] | undefined> {
    try {
      const listed = await this.options.port.listVms();
      const vms = listed.map((vm) => this.nameLifetime(vm));
      this.listOutage.noteSuccess();
      this.lifetimeEndDetector.compare(vms);
      return vms;
    } catch (thrown) {
      this.listOutage.noteFailure({ reason: String(thrown) });
      return undefined;
    }
  }

  private nameLifetime(vm: FleetVm): FleetVm {
    const { targetId: instance } = vm;
    if (instance === undefined) return vm;
    return { ...vm, targetId: this.options.getLifetimeId(instance) };
  }

  private getLoads(): ReadonlyMap<string, TargetLoad> {
    return indexLoads(this.demands);
  }

  /** Requests the loads by which VMs count as empty from now on. */
  private requestLoads(
    vms: readonly FleetVm[],
    pools: readonly string[],
  ): Promise<readonly PoolDemand[]> {
    this.orders.setLoadsTime(this.options.clock.monotonicMs());
    return this.syncPools(vms, pools);
  }

  /** Sends the drained targets to the homes of pools; returns the demands of those that answer. */
  private async syncPools(
    vms: readonly FleetVm[],
    pools: readonly string[],
  ): Promise<readonly PoolDemand[]> {
    const drained = this.moves.listDrainedVms();
    const limits = this.limits.createOrders(pools, this.options.listPools());
    const answers = await Promise.all(
      pools.map((pool) => this.syncPool(vms, pool, drained, limits.get(pool))),
    );
    return answers.filter((demand) => demand !== undefined);
  }

  private async syncPool(
    vms: readonly FleetVm[],
    pool: string,
    drained: ReadonlySet<string>,
    limits: LimitOrder | undefined,
  ): Promise<PoolDemand | undefined> {
    const targets = listDrainedTargets(vms, pool, drained);
    const ended = this.lifetimeEndDetector.list(pool);
    const demand = await this.options.syncPool(pool, targets, ended, limits);
    if (demand !== undefined && limits !== undefined) {
      this.limits.handleReport(pool, limits, demand);
    }
    return demand;
  }

  /** Raises parts of limits that tasks wait for, once others have given theirs up. */
  private async raiseLimits(vms: readonly FleetVm[]): Promise<void> {
    const pools = this.limits.listPoolsToRaise(this.options.listPools());
    if (pools.length > 0) await this.syncPools(vms, pools);
  }

  /** Requests the loads of some pools again, for the VMs that were listed last. */
  private async refreshLoads(pools: ReadonlySet<string>): Promise<ReadonlyMap<string, TargetLoad>> {
    const known = this.options.listPools().filter((pool) => pools.has(pool));
    return indexLoads(await this.requestLoads(this.vms, known));
  }
}
