/** How much of a limit a pool uses, wants, and may take into use already. */
export interface LimitClaim {
  readonly pool: string;
  /** What the pool's tasks use and what those that wait would use beside them. */
  readonly wanted: number;
  /** Most that the pool may come to use by what it has been told so far. */
  readonly bound: number;
}

/** Input of {@link shareLimit}. */
export interface ShareLimitInput {
  readonly limit: number;
  readonly claims: readonly LimitClaim[];
}

/** Share of what nobody wants that pools may take into use without asking. */
const HEADROOM_SHARE = 0.75;

/** Gives each claim what it wants, the smallest first, and at most an equal share of the rest. */
function fillWanted(limit: number, claims: readonly LimitClaim[]): ReadonlyMap<string, number> {
  const ascending = claims.toSorted((a, b) => a.wanted - b.wanted);
  let left = limit;
  return new Map(
    ascending.map(({ pool, wanted }, index) => {
      const share = Math.min(wanted, left / (ascending.length - index));
      left -= share;
      return [pool, share];
    }),
  );
}

/**
 * Divides a limit that holds over several pools among them. What a pool may use is the part that
 * it was told last; a part that was told and not confirmed may be in force or not, so the higher
 * one counts as its bound.
 *
 * This handles pools that have their load peaks by turns while an organisation sends most of its
 * work to one pool at a time. So parts follow what is wanted, and most of the rest is dealt out
 * beforehand, so that a task that comes need not wait for a part.
 *
 * Guards against a start above the limit: a part never exceeds what the bounds of the other pools
 * leave, those included that are raised by the same call. So whichever parts are in force, their
 * sum is within the limit, or no task starts that would raise it.
 * @param input - The limit, and one claim for each pool.
 * @returns The part of each pool.
 */
export function shareLimit({ limit, claims }: ShareLimitInput): ReadonlyMap<string, number> {
  const filled = fillWanted(limit, claims);
  const spare = Math.max(0, limit - [...filled.values()].reduce((sum, part) => sum + part, 0));
  const headroom = (spare * HEADROOM_SHARE) / Math.max(1, claims.length);
  const committed = new Map(claims.map(({ pool, bound }) => [pool, bound]));
  const getCommittedElsewhere = (pool: string): number =>
    [...committed].filter(([other]) => other !== pool).reduce((sum, [, amount]) => sum + amount, 0);
  const mostInNeedFirst = claims.toSorted(
    (a, b) => b.wanted - b.bound - (a.wanted - a.bound) || a.pool.localeCompare(b.pool),
  );
  return new Map(
    mostInNeedFirst.map(({ pool, bound }) => {
      const goal = filled.get(pool)! + headroom;
      const part = Math.max(0, Math.min(goal, limit - getCommittedElsewhere(pool)));
      committed.set(pool, Math.max(bound, part));
      return [pool, part];
    }),
  );
}
