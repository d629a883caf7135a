import type { DurableJobRequest } from '../peers/index.js';
import type { PoolDemand } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import { LimitParts, type LimitPartsOptions, type PoolOrganisations } from './LimitParts.js';
import { PoolDemands, type PoolDemandsOptions } from './PoolDemands.js';
import { TargetDrains } from './TargetDrains.js';

/** Parameters of a `sync-pool` request, which the fleet's home sends for each pool. */
export type SyncPoolParameters = Omit<
  Extract<DurableJobRequest, { readonly type: 'sync-pool' }>,
  'type'
>;

/** Options of {@link PoolSync}. */
export interface PoolSyncOptions extends PoolDemandsOptions, LimitPartsOptions {
  /** Steady clock, by which drains end. */
  readonly clock: Clock;
  /** Stops tasks on the drained targets, as far as their steps allow. */
  readonly evacuate: () => void;
  /** Places ready tasks and stores all changes. */
  readonly flush: () => Promise<void>;
  /** @throws RattanliftError If another instance may be the home. */
  readonly assertIsHome: () => void;
}

/** Carries out what the fleet's home asks of a home, and tells it what the pools need. */
export class PoolSync {
  readonly drains: TargetDrains;

  readonly limitParts: LimitParts;

  private readonly options: PoolSyncOptions;

  private readonly demands: PoolDemands;

  /**
   * Starts without drains and parts of limits.
   * @param options - Jobs, runs and targets of the home.
   */
  constructor(options: PoolSyncOptions) {
    this.options = options;
    this.drains = new TargetDrains(options.clock);
    this.limitParts = new LimitParts(options);
    this.demands = new PoolDemands(options);
  }

  /**
   * Drains some targets for a limited time, and describes the load and demand of the pool.
   * @param request - The pool, its drained targets, which replace those of the previous request,
   * the targets whose lifetimes are over, and parts of limits.
   * @returns Load and demand of the pool.
   * @throws RattanliftError If another instance may be the home by the time of the answer.
   */
  async sync({
    pool,
    drainedTargets,
    drainedForMs,
    limits,
    ...ended
  }: SyncPoolParameters): Promise<PoolDemand> {
    const { evacuate, flush, runs, assertIsHome } = this.options;
    runs.handleEndedTargets(ended);
    this.drains.replace(pool, drainedTargets, drainedForMs);
    evacuate();
    // What was placed by the earlier parts and drains is counted below; no more is placed by them.
    const limitReport = limits && this.limitParts.follow(pool, limits);
    await flush().catch(() => undefined);
    // Meanwhile the next home may have placed tasks on targets that are empty here.
    assertIsHome();
    const demand = this.demands.describe(pool);
    return limitReport === undefined ? demand : { ...demand, limitReport };
  }

  /**
   * Gets what organisations use in a pool and what they may use.
   * @param pool - Name of the pool.
   * @returns Their use, and the parts of their limits.
   */
  getOrganisations(pool: string): PoolOrganisations {
    const use = this.demands.listOrganisationUse(pool);
    return { use, parts: this.limitParts.list(pool) };
  }
}
