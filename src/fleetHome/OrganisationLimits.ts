import {
  mapResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type ResourceName,
  type Resources,
} from '../jobs/index.js';
import { hasLimit, type Organisation } from '../queues/index.js';
import {
  type LimitOrder,
  type LimitPart,
  type OrganisationUse,
  type PoolDemand,
  shareLimit,
  UNLIMITED_AMOUNT,
} from '../systems/index.js';

/** Options of {@link OrganisationLimits}. */
export interface OrganisationLimitsOptions {
  /** Term of the fleet's home. */
  readonly term: number;
  readonly listOrganisations: () => readonly Organisation[];
  /** Whether this instance is certain to be the fleet's home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
}

/** What is known of the parts in a pool. */
interface PoolState {
  readonly homeTerm: number;
  /** Parts that the home has confirmed, by organisation. */
  readonly confirmed: ReadonlyMap<string, LimitPart>;
  /** Parts of orders without a reply, which may be in force; the highest of each organisation. */
  readonly unconfirmed: ReadonlyMap<string, Resources>;
  readonly use: ReadonlyMap<string, OrganisationUse>;
}

const getMax = (left: Resources, right: Resources): Resources =>
  mapResources((name) => Math.max(left[name], right[name]));

const isEqual = (left: Resources, right: Resources): boolean =>
  RESOURCE_NAMES.every((name) => left[name] === right[name]);

function indexParts(parts: readonly LimitPart[]): ReadonlyMap<string, LimitPart> {
  return new Map(parts.map((part) => [part.organisation, part]));
}

/**
 * Divides the limits of organisations among the pools, whose homes start nothing beyond their
 * parts.
 *
 * Nothing of it is stored. A new home of the fleet first asks every pool what is in force there,
 * under a term that ends the orders of the one before, and divides anew once all pools have told
 * it. Until then each pool keeps what it has. A pool that doesn't reply keeps its part in the sum.
 */
export class OrganisationLimits {
  private readonly options: OrganisationLimitsOptions;

  private readonly pools = new Map<string, PoolState>();

  private sequence = 0;

  /**
   * Starts without knowledge of any pool.
   * @param options - Term, organisations and the group's lease.
   */
  constructor(options: OrganisationLimitsOptions) {
    this.options = options;
  }

  /**
   * Creates the orders for some pools.
   * @param pools - The pools that orders are sent to.
   * @param allPools - All pools whose homes may start tasks.
   * @returns The orders by pool; empty if no organisation has a limit, or another instance may be
   * the fleet's home.
   */
  createOrders(
    pools: readonly string[],
    allPools: readonly string[],
  ): ReadonlyMap<string, LimitOrder> {
    const limited = this.listLimited();
    if (limited.length === 0 || !this.options.isGroupLeaseHeld()) return new Map();
    const plan = this.plan(limited, allPools);
    return new Map(pools.map((pool) => [pool, this.createOrder(pool, plan?.get(pool) ?? [])]));
  }

  /**
   * Takes in what a pool's home has said to an order.
   * @param pool - Name of the pool.
   * @param order - The order.
   * @param demand - Load and demand of the pool, with the report.
   */
  handleReport(pool: string, order: LimitOrder, demand: PoolDemand): void {
    const { limitReport: report, organisationUse = [] } = demand;
    if (report === undefined || report.isOutdated) {
      this.pools.delete(pool);
      return;
    }
    const before = this.pools.get(pool);
    const inForce = report.isApplied
      ? [...(before?.confirmed.values() ?? []), ...order.parts]
      : (report.parts ?? []);
    this.pools.set(pool, {
      homeTerm: report.homeTerm,
      confirmed: indexParts(inForce),
      unconfirmed: new Map(),
      use: new Map(organisationUse.map((use) => [use.organisation, use])),
    });
  }

  /**
   * Lists the pools in which tasks wait for a part that can be raised now.
   * @param allPools - All pools whose homes may start tasks.
   * @returns Their names.
   */
  listPoolsToRaise(allPools: readonly string[]): readonly string[] {
    const plan = this.plan(this.listLimited(), allPools);
    return allPools.filter((pool) =>
      (plan?.get(pool) ?? []).some((part) => this.isRaiseWanted(pool, part)),
    );
  }

  private listLimited(): readonly Organisation[] {
    return this.options.listOrganisations().filter(({ limit }) => hasLimit(limit));
  }

  private isRaiseWanted(pool: string, { organisation, part }: LimitPart): boolean {
    const state = this.pools.get(pool);
    const use = state?.use.get(organisation);
    const confirmed = state?.confirmed.get(organisation)?.part ?? NO_RESOURCES;
    if (use === undefined) return false;
    return RESOURCE_NAMES.some(
      (name) =>
        use.waiting[name] > 0 &&
        part[name] > confirmed[name] &&
        use.used[name] + use.waiting[name] > confirmed[name],
    );
  }

  private createOrder(pool: string, parts: readonly LimitPart[]): LimitOrder {
    this.sequence += 1;
    const { term: fleetTerm } = this.options;
    const { sequence } = this;
    const state = this.pools.get(pool);
    if (state === undefined) return { fleetTerm, sequence, parts: [] };
    const { homeTerm, confirmed, unconfirmed } = state;
    const changes = parts.filter(({ organisation, limit, part }) => {
      const known = confirmed.get(organisation);
      if (known === undefined || unconfirmed.has(organisation)) return true;
      return !isEqual(known.part, part) || !isEqual(known.limit, limit);
    });
    const raised = changes.map(({ organisation, part }): readonly [string, Resources] => [
      organisation,
      getMax(part, unconfirmed.get(organisation) ?? NO_RESOURCES),
    ]);
    this.pools.set(pool, { ...state, unconfirmed: new Map([...unconfirmed, ...raised]) });
    return { fleetTerm, sequence, homeTerm, parts: changes };
  }

  /** Divides all limits; undefined while a pool has not told what is in force there. */
  private plan(
    organisations: readonly Organisation[],
    allPools: readonly string[],
  ): ReadonlyMap<string, readonly LimitPart[]> | undefined {
    if (allPools.some((pool) => !this.pools.has(pool))) return undefined;
    const plans = organisations.map((organisation) => ({
      organisation,
      parts: this.divide(organisation),
    }));
    return new Map(
      allPools.map((pool) => [
        pool,
        plans.map(({ organisation: { name, limit }, parts }) => ({
          organisation: name,
          limit,
          part: mapResources((resource) => parts[resource]?.get(pool) ?? UNLIMITED_AMOUNT),
        })),
      ]),
    );
  }

  /** Divides each resource of a limit among the pools; undefined for a resource without a limit. */
  private divide({
    name: organisation,
    limit,
  }: Organisation): Readonly<Partial<Record<ResourceName, ReadonlyMap<string, number>>>> {
    const limited = RESOURCE_NAMES.filter((name) => limit[name] > 0);
    return Object.fromEntries(
      limited.map((name) => [
        name,
        shareLimit({
          limit: limit[name],
          claims: [...this.pools].map(([pool, { confirmed, unconfirmed, use }]) => {
            const { used, waiting } = use.get(organisation) ?? {
              used: NO_RESOURCES,
              waiting: NO_RESOURCES,
            };
            const told = confirmed.get(organisation)?.part ?? NO_RESOURCES;
            const maybe = unconfirmed.get(organisation) ?? NO_RESOURCES;
            return {
              pool,
              wanted: used[name] + waiting[name],
              bound: Math.max(used[name], told[name], maybe[name]),
            };
          }),
        }),
      ]),
    );
  }
}
