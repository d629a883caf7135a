import { setTimeout as sleep } from 'node:timers/promises';
import type { EventLog } from '../logging/index.js';
import type { KeyedRecord } from '../store/index.js';
import { type PoolDemand, planMoves, type TargetLoad, type VmMove } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm, VmFleetPort } from '../vms/index.js';
import { VmOrders } from './VmOrders.js';
import { WaveDesk } from './WaveDesk.js';
import type { WaveOrder, WaveRecord, WaveStatus } from './WaveOrder.js';

/** Options of {@link FleetHome}. */
export interface FleetHomeOptions {
  readonly port: VmFleetPort;
  readonly holder: string;
  readonly term: number;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Time that has to pass between the orders of two holders for one VM, in milliseconds. */
  readonly orderLeaseMs: number;
  /** Progress of waves as an earlier home has stored it. */
  readonly waveRecords: readonly WaveRecord[];
  readonly listWaveOrders: () => readonly WaveOrder[];
  /** Pools whose VMs work. */
  readonly listPools: () => readonly string[];
  /** Pools whose VMs are switched off until they are moved elsewhere. */
  readonly listStandbyPools: () => readonly string[];
  /**
   * Tells the home of a pool which targets get no new task and which are gone, and asks for its
   * demand.
   * @returns The demand, or undefined where no home answered.
   */
  readonly syncPool: (
    pool: string,
    drainedTargets: readonly string[],
    endedTargets: readonly string[],
  ) => Promise<PoolDemand | undefined>;
  /** Stores records of this home; rejects where it has been replaced. */
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
  readonly publishStatus: (wave: number, status: WaveStatus) => Promise<void>;
  readonly onReplaced: () => void;
}

/** Pause between two looks at the fleet, in milliseconds: a move takes 1.5 s, a rush lasts 5. */
const LOOK_EVERY_MS = 200;
/** How long homes are told of a lifetime that is over, in milliseconds: a takeover takes 2.5 s. */
const TELL_ENDED_MS = 10_000;
/** Margin on the time between the orders of two holders, in milliseconds. */
const ORDER_MARGIN_MS = 300;

/** The one instance that orders moves and maintenance of VMs, in a term. */
export class FleetHome {
  private readonly options: FleetHomeOptions;

  private readonly orders: VmOrders;

  private readonly waves: WaveDesk;

  /** VMs as listed last. */
  private readonly known = new Map<string, FleetVm>();

  /** Lifetimes that are over, with the monotonic time of the list that showed it. */
  private readonly ended = new Map<string, number>();

  private demands: readonly PoolDemand[] = [];

  private isClosed = false;

  private isListSilent = false;

  /**
   * Creates a home that does nothing yet.
   * @param options - The VMs, the pools and the waves.
   */
  constructor(options: FleetHomeOptions) {
    this.options = options;
    const { clock, orderLeaseMs, waveRecords } = options;
    const notBeforeMs = clock.monotonicMs() + orderLeaseMs + ORDER_MARGIN_MS;
    const onStaleTerm = (): void => this.options.onReplaced();
    this.orders = new VmOrders({ ...options, notBeforeMs, onStaleTerm });
    this.waves = new WaveDesk({ ...options, orders: this.orders, records: waveRecords });
  }

  /** Begins to look at the fleet again and again. */
  start(): void {
    void this.run();
  }

  /** Ends; orders in progress are not taken back. */
  close(): void {
    this.isClosed = true;
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- one look follows the other
      await this.look().catch((thrown: unknown) => {
        this.options.events.write('fleetLookFailed', { reason: String(thrown) });
      });
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two looks
      await sleep(LOOK_EVERY_MS);
    }
  }

  private async look(): Promise<void> {
    const askedAtMs = this.options.clock.monotonicMs();
    const vms = await this.listVms();
    if (vms === undefined || this.isClosed) return;
    this.orders.noteList(vms, askedAtMs);
    await this.syncPools(vms, this.waves.listDrained());
    if (this.isClosed) return;
    await this.waves.advance(vms, this.getLoads());
    await this.moveVms(vms);
  }

  private async listVms(): Promise<readonly FleetVm[] | undefined> {
    const { port, events } = this.options;
    try {
      const vms = await port.listVms();
      if (this.isListSilent) events.write('vmListReachable', {});
      this.isListSilent = false;
      vms.forEach((vm) => this.noteVm(vm));
      return vms;
    } catch (thrown) {
      if (!this.isListSilent) events.write('vmListUnreachable', { reason: String(thrown) });
      this.isListSilent = true;
      return undefined;
    }
  }

  private noteVm(listed: FleetVm): void {
    const { vm, pool, state, targetId } = listed;
    const known = this.known.get(vm);
    this.known.set(vm, listed);
    const isSame = known?.pool === pool && known.state === state && known.targetId === targetId;
    if (known === undefined || isSame) return;
    if (known.targetId !== undefined && known.targetId !== targetId) {
      this.ended.set(known.targetId, this.options.clock.monotonicMs());
    }
    this.options.events.write('vmChanged', { vm, pool, state, targetId, stateBefore: known.state });
  }

  /** Lifetimes that were listed and are not any more; told for long enough to reach every home. */
  private listEnded(): readonly string[] {
    const nowMs = this.options.clock.monotonicMs();
    [...this.ended]
      .filter(([, endedAtMs]) => nowMs - endedAtMs > TELL_ENDED_MS)
      .forEach(([targetId]) => this.ended.delete(targetId));
    return [...this.ended.keys()];
  }

  private getLoads(): ReadonlyMap<string, TargetLoad> {
    return new Map(
      this.demands.flatMap(({ targets }) => targets.map((load) => [load.targetId, load])),
    );
  }

  private async syncPools(vms: readonly FleetVm[], drained: ReadonlySet<string>): Promise<void> {
    const { listPools, syncPool } = this.options;
    const answers = await Promise.all(
      listPools().map((pool) =>
        syncPool(pool, FleetHome.listTargets(vms, pool, drained), this.listEnded()),
      ),
    );
    this.demands = answers.filter((demand) => demand !== undefined);
  }

  private static listTargets(
    vms: readonly FleetVm[],
    pool: string,
    drained: ReadonlySet<string>,
  ): readonly string[] {
    return vms
      .filter((vm) => vm.pool === pool && drained.has(vm.vm))
      .map(({ targetId }) => targetId)
      .filter((targetId) => targetId !== undefined);
  }

  private async moveVms(vms: readonly FleetVm[]): Promise<void> {
    const { listStandbyPools } = this.options;
    const moves = planMoves({
      demands: this.demands,
      vms,
      standbyPools: new Set(listStandbyPools()),
      heldVms: this.listHeld(),
      arrivingByPool: this.countArriving(vms),
    });
    if (moves.length === 0) return;
    const free = await this.emptyTargets(vms, moves);
    await Promise.all(
      moves
        .filter(({ vm }) => free.has(vm))
        .map(({ vm, toPool }) => {
          const targetId = vms.find((listed) => listed.vm === vm)?.targetId;
          return this.orders.give({ type: 'move', vm, toPool }, targetId);
        }),
    );
  }

  /** VMs that are away, or that a wave is about to take: these are not moved. */
  private listHeld(): ReadonlySet<string> {
    return new Set([...this.waves.listDrained(), ...this.orders.listAway().map(({ vm }) => vm)]);
  }

  private countArriving(vms: readonly FleetVm[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    const note = (pool: string): unknown => counts.set(pool, (counts.get(pool) ?? 0) + 1);
    this.orders.listAway().forEach((order) => {
      if (order.type === 'move') note(order.toPool);
    });
    // A VM that an earlier home has moved is on its way without an order of this one.
    vms
      .filter(({ vm, state }) => state === 'moving' && !this.orders.isAway(vm))
      .forEach(({ pool }) => note(pool));
    return counts;
  }

  /** Keeps new tasks off the VMs that are to move, and finds those on which still nothing runs. */
  private async emptyTargets(
    vms: readonly FleetVm[],
    moves: readonly VmMove[],
  ): Promise<ReadonlySet<string>> {
    const moving = new Set(moves.map(({ vm }) => vm));
    const off = vms.filter(({ vm, targetId }) => moving.has(vm) && targetId === undefined);
    const pools = new Set(moves.map(({ fromPool }) => fromPool));
    const drained = new Set([...moving, ...this.waves.listDrained()]);
    const answers = await Promise.all(
      this.options
        .listPools()
        .filter((pool) => pools.has(pool))
        .map((pool) =>
          this.options.syncPool(pool, FleetHome.listTargets(vms, pool, drained), this.listEnded()),
        ),
    );
    const empty = new Set(
      answers
        .flatMap((demand) => demand?.targets ?? [])
        .filter(({ runCount }) => runCount === 0)
        .map(({ targetId }) => targetId),
    );
    const emptyVms = vms.filter(({ vm, targetId }) => moving.has(vm) && empty.has(targetId ?? ''));
    return new Set([...off, ...emptyVms].map(({ vm }) => vm));
  }
}
