import type { PoolVmRow } from '../tables/index.js';
import type { JobSize } from './learnedSize.js';

const NOTHING_FREED = { slotCount: 0, coreCount: 0, memoryMb: 0 };

/** What a VM carries at the moment, and what else would fit. */
export class VmLoad {
  readonly vm: PoolVmRow;

  /** Requests that failed on the VM since its last success. */
  readonly failureCount: number;

  private usedSlots = 0;

  private usedCores = 0;

  private usedMemory = 0;

  private recentStarts = 0;

  /**
   * Starts with an empty VM.
   * @param vm - The VM.
   * @param failureCount - Requests that failed on it since its last success.
   */
  constructor(vm: PoolVmRow, failureCount: number) {
    this.vm = vm;
    this.failureCount = failureCount;
  }

  /** Slots in use. */
  get usedSlotCount(): number {
    return this.usedSlots;
  }

  /** Runs that began within the last moments. */
  get recentStartCount(): number {
    return this.recentStarts;
  }

  /** Cores that no run has. */
  get freeCoreCount(): number {
    return this.vm.coreCount - this.usedCores;
  }

  /** Memory that no run has, in megabytes. */
  get freeMemoryMb(): number {
    return this.vm.memoryMb - this.usedMemory;
  }

  /** Slots that no run has. */
  get freeSlotCount(): number {
    return this.vm.slotCount - this.usedSlots;
  }

  /**
   * Adds a run.
   * @param size - What it takes.
   * @param recent - Whether it began within the last moments.
   */
  add(size: JobSize, recent: boolean): void {
    this.usedSlots += 1;
    this.usedCores += size.coreCount;
    this.usedMemory += size.memoryMb;
    if (recent) this.recentStarts += 1;
  }

  /**
   * Tells whether a run fits.
   * @param size - What it takes.
   * @param freed - What would be freed for it first.
   * @returns Whether slot, cores and memory suffice.
   */
  fits(size: JobSize, freed: JobSize & { readonly slotCount: number } = NOTHING_FREED): boolean {
    return (
      this.freeSlotCount + freed.slotCount >= 1 &&
      this.freeCoreCount + freed.coreCount >= size.coreCount &&
      this.freeMemoryMb + freed.memoryMb >= size.memoryMb
    );
  }

  /**
   * Measures how tightly a run would fit.
   * @param size - What it takes.
   * @returns Share of the VM left idle in its scarcer resource; smaller is tighter.
   */
  slackAfter(size: JobSize): number {
    const coreSlack = (this.freeCoreCount - size.coreCount) / this.vm.coreCount;
    const memorySlack = (this.freeMemoryMb - size.memoryMb) / this.vm.memoryMb;
    return Math.min(coreSlack, memorySlack);
  }
}
