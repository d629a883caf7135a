import { hashText } from '../utils/index.js';
import type { TargetEntries } from './TargetEntry.js';

/** Options of {@link PoolPartitions}. */
export interface PoolPartitionsOptions {
  readonly partitionCount: number;
  /** Lists the pools of the current configuration. */
  readonly listPools: () => readonly string[];
}

/** Pseudo-pool name that determines the partition of fleet-wide records. */
const FLEET_KEY = 'fleet';

/**
 * Maps each pool to the partition that keeps its jobs. The mapping is a hash of the pool's name, so
 * that all instances and configurations agree on it without communication.
 */
export class PoolPartitions {
  private readonly options: PoolPartitionsOptions;

  /**
   * Creates the mapping.
   * @param options - Number of partitions, and the pools.
   */
  constructor(options: PoolPartitionsOptions) {
    this.options = options;
  }

  /**
   * Gets the partition of a pool.
   * @param pool - Name of the pool.
   * @returns Number of the partition.
   */
  getPartition(pool: string): number {
    return hashText(pool) % this.options.partitionCount;
  }

  /**
   * Lists the partitions that keep a pool or the fleet-wide records.
   * @returns Their distinct numbers; none before there is a configuration.
   */
  listUsedPartitions(): readonly number[] {
    const pools = this.options.listPools();
    if (pools.length === 0) return [];
    return [...new Set([...pools, FLEET_KEY].map((name) => this.getPartition(name)))];
  }

  /**
   * Tells whether a partition keeps the fleet-wide records.
   * @param partition - Number of the partition.
   * @returns Whether its home is also the fleet's home.
   */
  isFleetPartition(partition: number): boolean {
    return partition === this.getPartition(FLEET_KEY);
  }

  /**
   * Filters the targets whose pools a partition keeps. A target whose pool is not configured is
   * left out, since another writer may have written its entry.
   * @param partition - Number of the partition.
   * @param entries - All targets.
   * @returns The targets of the partition.
   */
  filterEntries(partition: number, entries: TargetEntries): TargetEntries {
    const poolsOfPartition = new Set(
      this.options.listPools().filter((pool) => this.getPartition(pool) === partition),
    );
    return new Map([...entries].filter(([, { pool }]) => poolsOfPartition.has(pool)));
  }
}
