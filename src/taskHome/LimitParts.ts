import { NO_RESOURCES, RESOURCE_NAMES, type Resources } from '../jobs/index.js';
import { hasLimit, type Organisation } from '../queues/index.js';
import type { LimitOrder, LimitPart, LimitReport, OrganisationUse } from '../systems/index.js';

/** Options of {@link LimitParts}. */
export interface LimitPartsOptions {
  /** Term of this home. */
  readonly term: number;
  /** Lists the organisations of the configuration in force. */
  readonly listOrganisations: () => readonly Organisation[];
}

/** What organisations use in a pool, and the parts of their limits there. */
export interface PoolOrganisations {
  readonly use: readonly OrganisationUse[];
  readonly parts: readonly LimitPart[];
}

/** Parts in force in one pool, and the order that gave the latest ones. */
interface PoolParts extends Pick<LimitOrder, 'fleetTerm' | 'sequence'> {
  readonly parts: ReadonlyMap<string, LimitPart>;
}

function isLater(order: LimitOrder, known: PoolParts): boolean {
  if (order.fleetTerm !== known.fleetTerm) return order.fleetTerm > known.fleetTerm;
  return order.sequence > known.sequence;
}

/** Whether a limit allows less of a resource than another one; 0 is no limit. */
function isLower(limit: Resources, other: Resources): boolean {
  return RESOURCE_NAMES.some(
    (name) => limit[name] > 0 && (other[name] === 0 || limit[name] < other[name]),
  );
}

/**
 * What organisations may have in use in the pools of a home, as the fleet's home divides their
 * limits among the pools.
 *
 * Parts have no lease. A home keeps them for its term: what it places it has to store, and the
 * store rejects it once the next home has claimed the partition. The next home begins without
 * parts, so it starts nothing of a limited organisation until the fleet's home has heard from it
 * what is in use.
 *
 * Guards against starts above a limit that has fallen: a home that knows a lower limit than the one
 * that was divided starts nothing more until the lower one is divided.
 */
export class LimitParts {
  private readonly options: LimitPartsOptions;

  private readonly partsByPool = new Map<string, PoolParts>();

  /**
   * Starts without parts.
   * @param options - Term of the home, and the organisations.
   */
  constructor(options: LimitPartsOptions) {
    this.options = options;
  }

  /**
   * Follows an order unless it is outdated or meant for an earlier home.
   * @param pool - Name of the pool.
   * @param order - The order.
   * @returns Whether it was followed, and the parts in force if not.
   */
  follow(pool: string, order: LimitOrder): LimitReport {
    const known = this.partsByPool.get(pool);
    const { term: homeTerm } = this.options;
    const inForce = this.list(pool);
    if (known !== undefined && !isLater(order, known)) {
      const isOutdated = order.fleetTerm < known.fleetTerm;
      return { homeTerm, isApplied: false, isOutdated, parts: inForce };
    }
    const isApplied = order.homeTerm === homeTerm;
    const given = isApplied ? order.parts : [];
    const parts = new Map([...inForce, ...given].map((part) => [part.organisation, part]));
    this.partsByPool.set(pool, { ...order, parts });
    const report = { homeTerm, isApplied, isOutdated: false };
    return isApplied ? report : { ...report, parts: inForce };
  }

  /**
   * Lists the parts in force in a pool.
   * @param pool - Name of the pool.
   * @returns One part for each organisation with a limit.
   */
  list(pool: string): readonly LimitPart[] {
    return [...(this.partsByPool.get(pool)?.parts.values() ?? [])];
  }

  /**
   * Gets what an organisation may have in use in a pool.
   * @param pool - Name of the pool.
   * @param organisation - Name of the organisation.
   * @returns The resources; undefined if the organisation has no limit.
   */
  get(pool: string, organisation: string): Resources | undefined {
    const own = this.options.listOrganisations().find(({ name }) => name === organisation);
    if (own === undefined || !hasLimit(own.limit)) return undefined;
    const part = this.partsByPool.get(pool)?.parts.get(organisation);
    if (part === undefined || isLower(own.limit, part.limit)) return NO_RESOURCES;
    return part.part;
  }
}
