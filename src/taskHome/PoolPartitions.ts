import { hashText } from '../utils/index.js';
import type { TargetEntries } from './TargetEntry.js';

/** Options of {@link PoolPartitions}. */
export interface PoolPartitionsOptions {
  readonly partitionCount: number;
  /** Lists the pools of the configuration in force. */
  readonly listPools: () => readonly string[];
}

/**
 * Which partition keeps the jobs of which pool. The hash of the pool's name decides, so that every
 * instance and every configuration agree without asking.
 */
export class PoolPartitions {
  private readonly options: PoolPartitionsOptions;

  /**
   * Creates the mapping.
   * @param options - Count of partitions and the pools.
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
   * Lists the partitions that keep a pool.
   * @returns Their numbers, each once.
   */
  listUsed(): readonly number[] {
    const { listPools } = this.options;
    return [...new Set(listPools().map((pool) => this.getPartition(pool)))];
  }

  /**
   * Filters the targets whose pools a partition keeps.
   * @param partition - Number of the partition.
   * @param entries - All targets.
   * @returns The targets of the partition.
   */
  filterEntries(partition: number, entries: TargetEntries): TargetEntries {
    return new Map([...entries].filter(([, { pool }]) => this.getPartition(pool) === partition));
  }
}
