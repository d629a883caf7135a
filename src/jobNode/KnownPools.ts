import type { QueueConfiguration, QueuePools } from '../queues/index.js';

/** Options of {@link KnownPools}. */
export interface KnownPoolsOptions {
  readonly getConfiguration: () => QueueConfiguration | undefined;
  readonly queuePools: QueuePools;
}

/**
 * The pools that may have jobs: those of the configuration in force, and those of earlier ones.
 *
 * Guards against jobs without a home: if a configuration drops their pool, its partition would not
 * be opened, its targets would not be listed, and the leases of their tasks would lapse.
 */
export class KnownPools {
  private readonly options: KnownPoolsOptions;

  private readonly seenPools = new Set<string>();

  /** Version of the configuration after which the pools of all queues were read. */
  private readVersion: number | undefined;

  /**
   * Starts without any pool.
   * @param options - The configuration, and the pools that queues have had.
   */
  constructor(options: KnownPoolsOptions) {
    this.options = options;
  }

  /**
   * Lists the pools.
   * @returns Their distinct names; none before there is a configuration.
   */
  list(): readonly string[] {
    const { getConfiguration, queuePools } = this.options;
    const configuration = getConfiguration();
    if (configuration === undefined) return [];
    configuration.pools.forEach(({ pool }) => this.seenPools.add(pool));
    return [...new Set([...this.seenPools, ...queuePools.listPools()])];
  }

  /** Reads the pools of all queues once for each version, and again if the read has failed. */
  async refresh(): Promise<void> {
    const { getConfiguration, queuePools } = this.options;
    const version = getConfiguration()?.version;
    if (version === undefined || version === this.readVersion) return;
    await queuePools.refresh();
    this.readVersion = version;
  }

  /**
   * Reads the pools of all queues if a request is for a pool that is not known here.
   * @param pool - Name of the pool.
   */
  async lookUp(pool: string): Promise<void> {
    if (!this.list().includes(pool)) await this.options.queuePools.refresh();
  }
}
