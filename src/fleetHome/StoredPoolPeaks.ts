import type { KeyedRecord } from '../store/index.js';
import { type PoolDemand, type PoolPeak, PoolPeaks } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import { encodePoolPeakRecord } from './PoolPeakRecord.js';

/** Options of {@link StoredPoolPeaks}. */
export interface StoredPoolPeaksOptions {
  readonly clock: Clock;
  /** Peak VM count of each pool, as stored by earlier homes. */
  readonly peakRecords: readonly PoolPeak[];
  /** Stores records of this home; rejects if the home has been replaced. */
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
}

/** Keeps the peaks of pools in the store, for the next home of the fleet. */
export class StoredPoolPeaks {
  readonly peaks: PoolPeaks;

  private readonly options: StoredPoolPeaksOptions;

  /** Reserve of each pool, in VMs, by the peaks that are stored. */
  private storedReserveCounts: ReadonlyMap<string, number>;

  /**
   * Creates the peaks.
   * @param options - Clock, store and stored peaks.
   */
  constructor(options: StoredPoolPeaksOptions) {
    this.options = options;
    this.peaks = new PoolPeaks(options.clock, options.peakRecords);
    this.storedReserveCounts = this.peaks.getReserveCounts();
  }

  /**
   * Lists the peaks.
   * @returns One peak for each known pool.
   */
  list(): readonly PoolPeak[] {
    return this.peaks.list();
  }

  /**
   * Records the usage of pools, and stores the peaks of those whose reserve changes.
   * @param demands - Load and demand of the pools.
   */
  record(demands: readonly PoolDemand[]): void {
    demands.forEach((demand) => this.peaks.record(demand));
    const reserveCounts = this.peaks.getReserveCounts();
    const changed = this.peaks
      .list()
      .filter(({ pool }) => reserveCounts.get(pool) !== this.storedReserveCounts.get(pool));
    if (changed.length === 0) return;
    this.storedReserveCounts = reserveCounts;
    // The writer reports that it was replaced; the next home starts from the peaks stored before.
    this.options.store(changed.map(encodePoolPeakRecord)).catch(() => undefined);
  }
}
