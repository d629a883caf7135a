import type { AvailabilitySettings } from '../settings/index.js';
import type { PoolTables, PoolVmRow } from '../tables/index.js';
import type { BudgetVerdict } from './decisions.js';
import { DomainSlots } from './DomainSlots.js';
import { isQuarantined, listSteppedVms } from './vmStates.js';

/** Options of {@link AvailabilityBudget}. */
export interface AvailabilityBudgetOptions {
  readonly tables: PoolTables;
  /** Monotonic time, in milliseconds; determines which quarantines are still in force. */
  readonly nowMs: number;
}

/** Availability budget of a pool, updated incrementally as VMs are taken out one by one. */
export class AvailabilityBudget {
  private readonly availability: AvailabilitySettings;

  private readonly neededSlotCount: number;

  private readonly vmCount: number;

  private readonly acceptingVms = new Map<string, PoolVmRow>();

  private readonly slots: DomainSlots;

  /**
   * Counts the VMs that accept work at present.
   * @param options - State of the pool and the time.
   */
  constructor(options: AvailabilityBudgetOptions) {
    const { tables, nowMs } = options;
    const steppedVms = listSteppedVms(tables);
    this.availability = tables.settings.availability;
    this.neededSlotCount = tables.settings.neededSlotCount;
    this.vmCount = tables.vms.size;
    this.slots = new DomainSlots(this.availability.failureDomain);
    tables.vms
      .list()
      .filter((vm) => vm.condition === 'accepting' && vm.state === 'live')
      .filter((vm) => !steppedVms.has(vm.vm) && !isQuarantined(tables, vm.vm, nowMs))
      .forEach((vm) => this.count(vm));
  }

  /** Count of VMs that are unavailable, for whatever reason. */
  get unavailableVmCount(): number {
    return this.vmCount - this.acceptingVms.size;
  }

  /** Most VMs that may be unavailable at once, by the declared fraction. */
  get maxUnavailableVmCount(): number {
    return Math.floor(this.availability.maxUnavailableFraction * this.vmCount);
  }

  /**
   * Tells whether a VM counts as available.
   * @param vm - Name of the VM.
   * @returns Whether it is counted as accepting.
   */
  isAccepting(vm: string): boolean {
    return this.acceptingVms.has(vm);
  }

  /**
   * Counts a VM as unavailable.
   * @param vmName - Name of the VM; no effect if it is unavailable already.
   */
  takeOut(vmName: string): void {
    const vm = this.acceptingVms.get(vmName);
    if (vm === undefined) return;
    this.acceptingVms.delete(vmName);
    this.slots.remove(vm);
  }

  /**
   * Counts a VM as available, also to undo {@link takeOut}.
   * @param vm - The VM.
   */
  count(vm: PoolVmRow): void {
    this.acceptingVms.set(vm.vm, vm);
    this.slots.add(vm);
  }

  /**
   * Checks the budget with the VMs counted so far.
   * @returns The spare slots, or why the budget is exceeded.
   */
  verdict(): BudgetVerdict {
    const { unavailableVmCount, maxUnavailableVmCount, neededSlotCount } = this;
    if (unavailableVmCount > maxUnavailableVmCount) {
      return {
        type: 'exceeded',
        reason: `${unavailableVmCount} of ${this.vmCount} VMs would be unavailable; ${maxUnavailableVmCount} are allowed`,
      };
    }
    const remainingSlotCount = this.slots.countAfterLoss();
    if (remainingSlotCount < neededSlotCount) {
      const domain = this.availability.failureDomain;
      return {
        type: 'exceeded',
        reason: `${remainingSlotCount} slots would be left after the loss of a ${domain}; ${neededSlotCount} are needed`,
      };
    }
    return { type: 'within', spareSlotCount: remainingSlotCount - neededSlotCount };
  }
}
