import type { FleetTables, HomeRow } from '../tables/index.js';
import { rankByRendezvous } from '../utils/index.js';

/** Claim or release of the home of a pool. */
export type HomeDecision =
  | { readonly type: 'claim'; readonly pool: string; readonly expectedTerm: number }
  | { readonly type: 'release'; readonly pool: string; readonly term: number };

/** Options of {@link HomePlanner}. */
export interface HomePlannerOptions {
  /** This instance. */
  readonly instance: string;
  /** Additional time that a candidate waits to claim for each candidate ranked before it. */
  readonly candidateStepMs: number;
  /** How long an instance must have been joined before pools are released to it. */
  readonly settleMs: number;
}

function updateStartTimes(
  previousTimes: ReadonlyMap<string, number>,
  names: readonly string[],
  nowMs: number,
): ReadonlyMap<string, number> {
  return new Map(names.map((name) => [name, previousTimes.get(name) ?? nowMs]));
}

/** Decides which pools this instance should claim, and which it should release. */
export class HomePlanner {
  private readonly options: HomePlannerOptions;

  private vacantSinceMs: ReadonlyMap<string, number> = new Map();

  private joinedSinceMs: ReadonlyMap<string, number> = new Map();

  /**
   * Creates a planner.
   * @param options - Name of this instance and waiting times.
   */
  constructor(options: HomePlannerOptions) {
    this.options = options;
  }

  /**
   * Decides on the home of every pool.
   * @param tables - State derived from the log.
   * @param nowMs - Monotonic time.
   * @returns Claims and releases to write; applying the log's records in order resolves races.
   */
  decide(tables: FleetTables, nowMs: number): readonly HomeDecision[] {
    const homes = tables.homes.list();
    const joined = tables.instances
      .list()
      .filter((row) => row.state === 'joined')
      .map((row) => row.instance);
    this.joinedSinceMs = updateStartTimes(this.joinedSinceMs, joined, nowMs);
    const vacant = homes.filter((row) => row.instance === undefined).map((row) => row.pool);
    this.vacantSinceMs = updateStartTimes(this.vacantSinceMs, vacant, nowMs);
    if (!joined.includes(this.options.instance)) return [];
    return homes.flatMap((home) => this.decideFor(home, joined, nowMs));
  }

  private decideFor(
    home: HomeRow,
    joined: readonly string[],
    nowMs: number,
  ): readonly HomeDecision[] {
    const ranked = rankByRendezvous(home.pool, joined);
    if (home.instance === undefined) return this.decideVacant(home, ranked, nowMs);
    const preferred = ranked[0]!;
    if (home.instance !== this.options.instance || preferred === home.instance) return [];
    const settledMs = nowMs - this.joinedSinceMs.get(preferred)!;
    if (settledMs < this.options.settleMs) return [];
    return [{ type: 'release', pool: home.pool, term: home.term }];
  }

  private decideVacant(
    home: HomeRow,
    ranked: readonly string[],
    nowMs: number,
  ): readonly HomeDecision[] {
    const waitMs = ranked.indexOf(this.options.instance) * this.options.candidateStepMs;
    if (nowMs - this.vacantSinceMs.get(home.pool)! < waitMs) return [];
    return [{ type: 'claim', pool: home.pool, expectedTerm: home.term }];
  }
}
