import type { InstanceRow, Table } from '../tables/index.js';
import { rankByRendezvous } from '../utils/index.js';
import type { LeaseTiming } from './LeaseTiming.js';

/** An instance whose lease has expired according to this instance's observations. */
export interface LapsedInstance {
  readonly instance: string;
  readonly observedRenewalOffset: number;
}

/** Options of {@link LapseDetector}. */
export interface LapseDetectorOptions {
  /** This instance. */
  readonly instance: string;
  readonly timing: LeaseTiming;
}

interface Observation {
  readonly renewalOffset: number;
  /** Monotonic time at which this renewal was first seen. */
  readonly sinceMs: number;
}

/** Detects other instances whose leases were not renewed in time. */
export class LapseDetector {
  private readonly options: LapseDetectorOptions;

  private observations: ReadonlyMap<string, Observation> = new Map();

  /**
   * Creates a detector without observations.
   * @param options - Name of this instance and lease timing.
   */
  constructor(options: LapseDetectorOptions) {
    this.options = options;
  }

  /**
   * Discards all observations, so that every wait starts over.
   *
   * No instance can renew while the log is unavailable, and the first instance to reach the log
   * again would end the leases of all others. Time in which the log cannot be read does not count.
   */
  restart(): void {
    this.observations = new Map();
  }

  /**
   * Finds the instances whose leases this instance may end.
   * @param instances - Instances according to the log.
   * @param readToEndAtMs - Monotonic time at which the latest read that reached the log's end was
   *   sent.
   * @param nowMs - Monotonic time.
   * @returns The lapsed instances; the renewal offset in the record resolves races with a renewal.
   */
  findLapsed(
    instances: Table<string, InstanceRow>,
    readToEndAtMs: number,
    nowMs: number,
  ): readonly LapsedInstance[] {
    const joined = instances.list().filter((row) => row.state === 'joined');
    const others = joined.filter((row) => row.instance !== this.options.instance);
    this.observations = new Map(others.map((row) => [row.instance, this.observe(row, nowMs)]));
    const names = joined.map((row) => row.instance);
    return others
      .filter((row) => this.isLapsed(row.instance, names, readToEndAtMs))
      .map((row) => ({ instance: row.instance, observedRenewalOffset: row.renewalOffset }));
  }

  private observe(row: InstanceRow, nowMs: number): Observation {
    const previous = this.observations.get(row.instance);
    if (previous?.renewalOffset === row.renewalOffset) return previous;
    return { renewalOffset: row.renewalOffset, sinceMs: nowMs };
  }

  private isLapsed(instance: string, joined: readonly string[], readToEndAtMs: number): boolean {
    const { leaseMs, marginMs, contenderStepMs } = this.options.timing;
    const waitedMs = readToEndAtMs - this.observations.get(instance)!.sinceMs;
    if (waitedMs < leaseMs + marginMs) return false;
    const contenders = joined.filter((name) => name !== instance);
    const rank = rankByRendezvous(instance, contenders).indexOf(this.options.instance);
    return waitedMs >= leaseMs + marginMs + Math.max(rank, 0) * contenderStepMs;
  }
}
