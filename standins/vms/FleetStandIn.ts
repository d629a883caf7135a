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
