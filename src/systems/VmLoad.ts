import type { PoolVmRow, VmHealthRow } from '../tables/index.js';
import { getFailureDomain } from './getFailureDomain.js';
import type { JobSize } from './estimateJobSize.js';

/** How long a start counts as recent, in milliseconds. */
const RECENT_START_MS = 50;
/** Run time after which a run that follows a failure counts as no failure, in milliseconds. */
const TRIAL_MS = 5_000;
/** Base and maximum of the pause between trial runs on a VM with failures, in milliseconds. */
const FIRST_TRIAL_PAUSE_MS = 250;
const MAX_TRIAL_PAUSE_MS = 10_000;

/** Options of {@link VmLoad}. */
export interface VmLoadOptions {
  readonly vm: PoolVmRow;
  /** Failure history of the VM, if any. */
  readonly health: VmHealthRow | undefined;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

const NOTHING_FREED = { slotCount: 0, coreCount: 0, memoryMb: 0 };

/** Current load and free capacity of a VM. */
export class VmLoad {
  readonly vm: PoolVmRow;

  /** Name of the VM's rack, unique across all data centres. */
  readonly rack: string;

  private readonly health: VmHealthRow | undefined;

  private readonly nowMs: number;

  private usedSlots = 0;

  private usedCores = 0;

  private usedMemory = 0;

  private recentStarts = 0;

  private trials = 0;

  /**
   * Creates the load of a VM without runs.
   * @param options - The VM, its failure history, and the time.
   */
  constructor(options: VmLoadOptions) {
    this.vm = options.vm;
    this.rack = getFailureDomain(options.vm, 'rack');
    this.health = options.health;
    this.nowMs = options.nowMs;
  }

  /** Number of requests that failed on the VM since its last success. */
  get failureCount(): number {
    return this.health?.failedRequestIds.length ?? 0;
  }

  /**
   * Whether the VM may get one more run in view of its failures. A VM that fails every run is
   * always empty and would attract every job. After a failure it gets one trial run at a time,
   * with a pause that doubles with each failure, until a run succeeds.
   */
  get isTrusted(): boolean {
    if (this.health === undefined || this.failureCount === 0) return true;
    const pauseMs = Math.min(MAX_TRIAL_PAUSE_MS, FIRST_TRIAL_PAUSE_MS * 2 ** this.failureCount);
    return this.trials === 0 && this.nowMs >= this.health.lastFailedAtMs + pauseMs;
  }

  /** Slots in use. */
  get usedSlotCount(): number {
    return this.usedSlots;
  }

  /** Number of runs that started recently. */
  get recentStartCount(): number {
    return this.recentStarts;
  }

  /** Unallocated cores. */
  get freeCoreCount(): number {
    return this.vm.coreCount - this.usedCores;
  }

  /** Unallocated memory, in megabytes. */
  get freeMemoryMb(): number {
    return this.vm.memoryMb - this.usedMemory;
  }

  /** Unoccupied slots. */
  get freeSlotCount(): number {
    return this.vm.slotCount - this.usedSlots;
  }

  /**
   * Adds a run.
   * @param size - Resources of the run.
   * @param startedAtMs - Monotonic time of its start, in milliseconds.
   */
  add(size: JobSize, startedAtMs: number): void {
    this.usedSlots += 1;
    this.usedCores += size.coreCount;
    this.usedMemory += size.memoryMb;
    const ageMs = this.nowMs - startedAtMs;
    if (ageMs < RECENT_START_MS) this.recentStarts += 1;
    const isTrial = this.health !== undefined && startedAtMs >= this.health.lastFailedAtMs;
    if (isTrial && ageMs < TRIAL_MS) this.trials += 1;
  }

  /**
   * Tells whether a run fits.
   * @param size - Resources of the run.
   * @param freed - Resources that would be freed before the run starts.
   * @returns Whether slots, cores and memory suffice.
   */
  fits(size: JobSize, freed: JobSize & { readonly slotCount: number } = NOTHING_FREED): boolean {
    return (
      this.freeSlotCount + freed.slotCount >= 1 &&
      this.freeCoreCount + freed.coreCount >= size.coreCount &&
      this.freeMemoryMb + freed.memoryMb >= size.memoryMb
    );
  }

  /**
   * Computes how tightly a run would fit.
   * @param size - Resources of the run.
   * @returns Free share of the VM's scarcer resource after placement; smaller is tighter.
   */
  slackAfter(size: JobSize): number {
    const coreSlack = (this.freeCoreCount - size.coreCount) / this.vm.coreCount;
    const memorySlack = (this.freeMemoryMb - size.memoryMb) / this.vm.memoryMb;
    return Math.min(coreSlack, memorySlack);
  }
}
