/** Where a VM is in its life, as the platform lists it. */
export type VmState = 'up' | 'moving' | 'in-maintenance' | 'down';

/** A VM of the fleet. */
export interface FleetVm {
  readonly vm: string;
  readonly pool: string;
  readonly state: VmState;
  /**
   * Lifetime of the target on the VM, as far as the list tells it; absent while the VM is off,
   * moves or is maintained.
   */
  readonly targetId?: string;
  readonly rack?: string;
}

/** Who orders something of a VM. */
export interface VmOrderIssuer {
  readonly holder: string;
  /** Term of the issuer; the platform refuses lower terms for a VM than the highest it has seen. */
  readonly term: number;
}

/** Answer to an order; `accepted` also where it was carried out before. */
export type VmOrderAnswer =
  { readonly type: 'accepted' } | { readonly type: 'refused'; readonly reason: VmOrderRefusal };

/** Why the platform refused an order for a VM without doing anything. */
export type VmOrderRefusal =
  'stale-term' | 'busy' | 'not-in-wave' | 'impossible' | 'overloaded' | 'unavailable';

/**
 * The VMs of the fleet, and what can be done to them. Each call throws where no answer came; the
 * order may then have taken effect.
 */
export interface VmFleetPort {
  /**
   * Lists all VMs.
   * @returns The VMs, also those that are switched off.
   */
  listVms(): Promise<readonly FleetVm[]>;
  /**
   * Moves a VM to another pool; whatever runs on it is killed.
   * @param vm - The VM.
   * @param pool - The pool that it joins.
   * @param issuer - Who orders it.
   * @returns The platform's answer.
   */
  moveVm(vm: string, pool: string, issuer: VmOrderIssuer): Promise<VmOrderAnswer>;
  /**
   * Takes a VM down for its maintenance; whatever runs on it is killed.
   * @param vm - The VM.
   * @param wave - Number of the wave.
   * @param issuer - Who orders it.
   * @returns The platform's answer.
   */
  maintainVm(vm: string, wave: number, issuer: VmOrderIssuer): Promise<VmOrderAnswer>;
}
