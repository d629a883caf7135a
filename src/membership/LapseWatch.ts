import type { InstanceRow, Table } from '../tables/index.js';
import { rankByRendezvous } from '../utils/index.js';
import type { LeaseTiming } from './LeaseTiming.js';

/** An instance whose lease has run out by this instance's own count. */
export interface LapsedInstance {
  readonly instance: string;
  readonly observedRenewalOffset: number;
}

/** Options of {@link LapseWatch}. */
export interface LapseWatchOptions {
  /** This instance. */
  readonly instance: string;
  readonly timing: LeaseTiming;
}

interface Observation {
  readonly renewalOffset: number;
  /** Monotonic time from which the wait counts. */
  readonly sinceMs: number;
}

/** Counts for every other instance how long its lease went without a renewal. */
export class LapseWatch {
  private readonly options: LapseWatchOptions;

  private observations: ReadonlyMap<string, Observation> = new Map();

  /**
   * Creates a watch that has seen nothing.
   * @param options - Own name and timing.
   */
  constructor(options: LapseWatchOptions) {
    this.options = options;
  }

  /**
   * Starts every wait anew.
   *
   * Failure: after an outage of the log nobody could renew, and the first instance back would end
   * the leases of all others. Time in which the log could not be read does not count.
   */
  restart(): void {
    this.observations = new Map();
  }

  /**
   * Finds the instances whose lease this instance may end.
   * @param instances - Instances by the log.
   * @param readToEndAtMs - Monotonic time at which the latest read to the log's end was sent.
   * @param nowMs - Monotonic time.
   * @returns The lapsed ones; the condition in the record decides races with a renewal.
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
    const known = this.observations.get(row.instance);
    if (known?.renewalOffset === row.renewalOffset) return known;
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
