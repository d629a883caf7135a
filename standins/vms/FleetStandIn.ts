import type { FleetVm, VmFleetPort, VmOrderAnswer, VmOrderIssuer } from '../../src/vms/index.js';

/** An order that was carried out. */
export interface CarriedOutOrder {
  readonly vm: string;
  readonly order: 'move' | 'maintain';
  readonly holder: string;
  readonly term: number;
}

/** Options of {@link FleetStandIn}. */
export interface FleetStandInOptions {
  readonly vms: readonly FleetVm[];
  /** Called when the lifetime of a VM's target ends and, where it is on, the next one begins. */
  readonly onLifetime: (ended: string | undefined, begun: FleetVm) => void;
}

/** Time after which a VM is back whose target has crashed, in milliseconds. */
const BACK_AFTER_MS = 500;

/** Stands in for the platform's VMs: moves and maintenance take effect at once. */
export class FleetStandIn implements VmFleetPort {
  /** Orders in the sequence in which they were carried out. */
  readonly orders: CarriedOutOrder[] = [];

  private readonly options: FleetStandInOptions;

  private readonly vms = new Map<string, FleetVm>();

  private readonly terms = new Map<string, number>();

  private lifetimeCount = 0;

  /**
   * Creates the stand-in.
   * @param options - The VMs, and what happens with lifetimes.
   */
  constructor(options: FleetStandInOptions) {
    this.options = options;
    options.vms.forEach((vm) => this.vms.set(vm.vm, vm));
  }

  /**
   * Lists the targets that are on.
   * @param rack - Only those of this rack; all where it is absent.
   * @returns Ids of their lifetimes.
   */
  listTargets(rack?: string): readonly string[] {
    return [...this.vms.values()]
      .filter((vm) => rack === undefined || vm.rack === rack)
      .map(({ targetId }) => targetId)
      .filter((targetId) => targetId !== undefined);
  }

  /** {@inheritDoc VmFleetPort.listVms} */
  async listVms(): Promise<readonly FleetVm[]> {
    return [...this.vms.values()];
  }

  /** {@inheritDoc VmFleetPort.moveVm} */
  async moveVm(vm: string, pool: string, issuer: VmOrderIssuer): Promise<VmOrderAnswer> {
    return this.carryOut(vm, 'move', issuer, pool);
  }

  /** {@inheritDoc VmFleetPort.maintainVm} */
  async maintainVm(vm: string, _wave: number, issuer: VmOrderIssuer): Promise<VmOrderAnswer> {
    return this.carryOut(vm, 'maintain', issuer, this.vms.get(vm)?.pool ?? '');
  }

  /**
   * Crashes the target on a VM; it is back a little later, in another lifetime.
   * @param targetId - Lifetime of the target.
   */
  crash(targetId: string): void {
    const vm = [...this.vms.values()].find((known) => known.targetId === targetId);
    if (vm === undefined) return;
    this.vms.set(vm.vm, { ...vm, state: 'down', targetId: undefined });
    setTimeout(() => this.bringBack(vm), BACK_AFTER_MS).unref();
  }

  private bringBack({ vm, targetId }: FleetVm): void {
    const { pool, state, rack } = this.vms.get(vm)!;
    // An order has begun a lifetime meanwhile.
    if (state !== 'down') return;
    this.lifetimeCount += 1;
    const begun: FleetVm = {
      vm,
      pool,
      rack,
      state: 'up',
      targetId: `${vm}-${this.lifetimeCount}`,
    };
    this.vms.set(vm, begun);
    this.options.onLifetime(targetId, begun);
  }

  private carryOut(
    name: string,
    order: 'move' | 'maintain',
    { holder, term }: VmOrderIssuer,
    pool: string,
  ): VmOrderAnswer {
    const vm = this.vms.get(name);
    if (vm === undefined) return { type: 'refused', reason: 'impossible' };
    if (term < (this.terms.get(name) ?? 0)) return { type: 'refused', reason: 'stale-term' };
    this.terms.set(name, term);
    this.orders.push({ vm: name, order, holder, term });
    this.lifetimeCount += 1;
    const begun: FleetVm = { ...vm, pool, targetId: `${name}-${this.lifetimeCount}` };
    this.vms.set(name, begun);
    this.options.onLifetime(vm.targetId, begun);
    return { type: 'accepted' };
  }
}
