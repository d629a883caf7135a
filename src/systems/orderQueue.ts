import type { Urgency } from '../settings/index.js';
import type { PoolTables, QueuedRow } from '../tables/index.js';
import { getTeamQuota } from './getTeamQuota.js';
import type { PoolLoad } from './PoolLoad.js';

/** Urgencies in the order in which they are served. */
const SERVING_ORDER: readonly Urgency[] = ['urgent', 'normal', 'overnight'];

/** Slots that an urgency is guaranteed while more urgent requests would take all of them. */
interface AgeingRule {
  readonly urgency: Urgency;
  /** Wait after which a job of the urgency counts as aged, in milliseconds. */
  readonly agedAfterMs: number;
  /** Share of the pool's slots that aged jobs may take ahead of others; at least one slot. */
  readonly guaranteedSlotFraction: number;
}

const AGEING_RULES: readonly AgeingRule[] = [
  { urgency: 'normal', agedAfterMs: 20_000, guaranteedSlotFraction: 0.2 },
  { urgency: 'overnight', agedAfterMs: 900_000, guaranteedSlotFraction: 0.05 },
];

/** A request with its rank in the weighted fair order. */
interface RankedRequest {
  readonly request: QueuedRow;
  /** Weighted share that its team would hold just before the request is served. */
  readonly share: number;
}

/** Compares by time of arrival. */
function compareArrival(left: QueuedRow, right: QueuedRow): number {
  return left.queuedAtMs - right.queuedAtMs;
}

/**
 * Orders requests of one urgency by weighted fair share. The rank of a team's next request is the
 * slots that the team holds plus its requests ranked so far, divided by its weight. So a team with
 * ten times the requests of a small team does not delay the small one.
 */
function orderFairly(
  tables: PoolTables,
  load: PoolLoad,
  requests: readonly QueuedRow[],
): readonly QueuedRow[] {
  const servedByTeam = new Map<string, number>();
  const ranked: RankedRequest[] = [...requests].sort(compareArrival).map((request) => {
    const { team } = request;
    const served = servedByTeam.get(team) ?? load.countTeamSlots(team);
    servedByTeam.set(team, served + 1);
    return { request, share: served / (getTeamQuota(tables.settings, team)?.weight ?? 1) };
  });
  return ranked
    .sort((left, right) => left.share - right.share || compareArrival(left.request, right.request))
    .map(({ request }) => request);
}

/**
 * Counts the slots that an urgency is guaranteed, however much more urgent work there is.
 * @param urgency - The urgency.
 * @param slotCount - Slots of the pool.
 * @returns Slots, 0 for an urgency without a guarantee.
 */
export function getGuaranteedSlotCount(urgency: Urgency, slotCount: number): number {
  const rule = AGEING_RULES.find((candidate) => candidate.urgency === urgency);
  return rule === undefined ? 0 : Math.max(1, Math.floor(rule.guaranteedSlotFraction * slotCount));
}

/** Lists the aged requests for which guaranteed slots are left, oldest first by urgency. */
function listAged(
  load: PoolLoad,
  requests: readonly QueuedRow[],
  nowMs: number,
): readonly QueuedRow[] {
  return AGEING_RULES.flatMap((rule) => {
    const guaranteedCount = getGuaranteedSlotCount(rule.urgency, load.slotCount);
    const missingCount = Math.max(0, guaranteedCount - load.countUrgencySlots(rule.urgency));
    return requests
      .filter((request) => request.urgency === rule.urgency)
      .filter((request) => nowMs - request.queuedAtMs >= rule.agedAfterMs)
      .sort(compareArrival)
      .slice(0, missingCount);
  });
}

/** Options of {@link orderQueue}. */
export interface OrderQueueOptions {
  readonly tables: PoolTables;
  readonly load: PoolLoad;
  readonly requests: readonly QueuedRow[];
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Order in which requests are served. */
export interface ServingOrder {
  /** Requests that have waited so long that they are served first. */
  readonly aged: ReadonlySet<QueuedRow>;
  readonly requests: readonly QueuedRow[];
}

/**
 * Orders a pool's queue: aged requests first, then by urgency, and within an urgency by weighted
 * fair share of the teams.
 * @param options - State of the pool, its load and the requests to order.
 * @returns The order.
 */
export function orderQueue(options: OrderQueueOptions): ServingOrder {
  const { tables, load, requests, nowMs } = options;
  const aged = new Set(listAged(load, requests, nowMs));
  const others = requests.filter((request) => !aged.has(request));
  const ordered = SERVING_ORDER.flatMap((urgency) =>
    orderFairly(
      tables,
      load,
      others.filter((request) => request.urgency === urgency),
    ),
  );
  return { aged, requests: [...aged, ...ordered] };
}
