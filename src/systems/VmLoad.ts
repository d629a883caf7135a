import type { PoolVmRow, VmHealthRow } from '../tables/index.js';
import { getFailureDomain } from './getFailureDomain.js';
import type { JobSize } from './learnedSize.js';

/** How long a start counts as recent, in milliseconds. */
const RECENT_START_MS = 50;
/** How long a run after a failure has to last to count as no failure, in milliseconds. */
const TRIAL_MS = 5_000;
/** Pauses between trials of a VM with failures, in milliseconds. */
const FIRST_TRIAL_PAUSE_MS = 250;
const MAX_TRIAL_PAUSE_MS = 10_000;

/** Options of {@link VmLoad}. */
export interface VmLoadOptions {
  readonly vm: PoolVmRow;
  /** What is held against the VM, if anything. */
  readonly health: VmHealthRow | undefined;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

const NOTHING_FREED = { slotCount: 0, coreCount: 0, memoryMb: 0 };

/** What a VM carries at the moment, and what else would fit. */
export class VmLoad {
  readonly vm: PoolVmRow;

  /** Name of the VM's rack, unique over all data centres. */
  readonly rack: string;

  private readonly health: VmHealthRow | undefined;

  private readonly nowMs: number;

  private usedSlots = 0;

  private usedCores = 0;

  private usedMemory = 0;

  private recentStarts = 0;

  private trials = 0;

  /**
   * Starts with an empty VM.
   * @param options - The VM, what is held against it, and the time.
   */
  constructor(options: VmLoadOptions) {
    this.vm = options.vm;
    this.rack = getFailureDomain(options.vm, 'rack');
    this.health = options.health;
    this.nowMs = options.nowMs;
  }

  /** Requests that failed on the VM since its last success. */
  get failureCount(): number {
    return this.health?.failedRequestIds.length ?? 0;
  }

  /**
   * Whether the VM is trusted with one more run. A VM that fails all that it starts is always
   * empty and would draw every job; after a failure it gets a single run at a time, after a pause
   * that doubles with each failure, until a run has ended well.
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
   * @param startedAtMs - Monotonic time of its start.
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
