import type { FailureDomain } from '../settings/index.js';
import type { VmRow } from '../tables/index.js';
import { getFailureDomain } from './getFailureDomain.js';

/** Slot counts of a set of VMs by failure domain. */
export class DomainSlots {
  private readonly failureDomain: FailureDomain;

  private readonly slotCountByDomain = new Map<string, number>();

  private totalSlotCount = 0;

  /**
   * Creates an empty set.
   * @param failureDomain - Kind of domain whose loss the pool has to survive.
   */
  constructor(failureDomain: FailureDomain) {
    this.failureDomain = failureDomain;
  }

  /** Slots of all VMs in the set. */
  get slotCount(): number {
    return this.totalSlotCount;
  }

  /**
   * Adds a VM's slots.
   * @param vm - A VM outside the set.
   */
  add(vm: VmRow): void {
    this.adjust(vm, vm.slotCount);
  }

  /**
   * Removes a VM's slots.
   * @param vm - A VM of the set.
   */
  remove(vm: VmRow): void {
    this.adjust(vm, -vm.slotCount);
  }

  /**
   * Counts the slots in a VM's domain.
   * @param vm - The VM.
   * @returns Slots of the set in that domain.
   */
  countInDomainOf(vm: VmRow): number {
    return this.slotCountByDomain.get(getFailureDomain(vm, this.failureDomain)) ?? 0;
  }

  /**
   * Counts the slots that remain after the loss of the largest domain.
   * @returns Slots outside the domain with the most slots.
   */
  countAfterLoss(): number {
    return this.totalSlotCount - this.largestDomainSlotCount();
  }

  /**
   * Counts the slots of the largest domain.
   * @returns Slots of the domain with the most slots.
   */
  largestDomainSlotCount(): number {
    return [...this.slotCountByDomain.values()].reduce((most, count) => Math.max(most, count), 0);
  }

  private adjust(vm: VmRow, slotCountDelta: number): void {
    const domain = getFailureDomain(vm, this.failureDomain);
    this.slotCountByDomain.set(domain, (this.slotCountByDomain.get(domain) ?? 0) + slotCountDelta);
    this.totalSlotCount += slotCountDelta;
  }
}
