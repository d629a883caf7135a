import {
  type ExpectedBegin,
  MIN_INTERVAL_MS,
  PeakRhythm,
  type PeakRhythmState,
  type RhythmMatch,
} from './PeakRhythm.js';
import type { SeenPeak } from './SeenPeak.js';

/** What is known of the turns of pools. */
export interface PeakTurnsState {
  readonly rhythm: PeakRhythmState;
  /** Pools by their latest turn, the latest last. */
  readonly turnPools: readonly string[];
  /** The turn that followed that of a pool, by the pool. */
  readonly successors: Readonly<Record<string, SuccessorTurn>>;
}

/** The turn that followed another one. */
export interface SuccessorTurn {
  readonly pool: string;
  /** Time between the beginnings of both, in milliseconds. */
  readonly intervalMs: number;
}

/** The next turn, and the pools that may have it. */
export interface ExpectedTurn extends ExpectedBegin {
  readonly pools: readonly string[];
  /** Probability of the turn for each of the pools. */
  readonly confidence: number;
}

/** Number of intervals between turns that are enough: in its first round a pool is not known. */
const MIN_INTERVAL_COUNT = 1;
/** Share by which the intervals between turns may deviate. */
const MAX_DEVIATION_SHARE = 1 / 3;
/** Number of turns ahead that are expected. */
const MAX_TURN_COUNT = 3;

/**
 * Learns the turns in which pools have their load peaks, in nearly equal intervals. In the first
 * round the next turn belongs to a pool that has had none; later to the one that followed before.
 */
export class PeakTurns {
  private readonly rhythm: PeakRhythm;

  private turnPools: readonly string[];

  private readonly successors: Map<string, SuccessorTurn>;

  /** Peak of another pool at the time of the expected turn, which may still come. */
  private substitute: SeenPeak | undefined;

  /**
   * Creates the turns.
   * @param known - What was learned earlier.
   */
  constructor(known?: PeakTurnsState) {
    this.rhythm = new PeakRhythm({
      minIntervalCount: MIN_INTERVAL_COUNT,
      maxDeviationShare: MAX_DEVIATION_SHARE,
      ...(known === undefined ? {} : { known: known.rhythm }),
    });
    this.turnPools = known?.turnPools ?? [];
    this.successors = new Map(Object.entries(known?.successors ?? {}));
  }

  /** What is known of the turns. */
  get state(): PeakTurnsState {
    const { rhythm, turnPools, successors } = this;
    return { rhythm: rhythm.state, turnPools, successors: Object.fromEntries(successors) };
  }

  /**
   * Ends the expectations that have not come true.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Number of the expectations that ended.
   */
  expire(nowMs: number): number {
    const { lastBeganAtMs } = this.rhythm.state;
    const expiredCount = this.rhythm.expire(nowMs, this.listOffsetsMs());
    if (expiredCount > 0) this.acceptSubstitute(lastBeganAtMs);
    return expiredCount;
  }

  /**
   * Gets the next turn.
   * @param pools - Pools that may have peaks.
   * @returns The turn, or undefined if none is expected.
   */
  getNext(pools: readonly string[]): ExpectedTurn | undefined {
    const next = this.getNextBegin();
    const { trust } = this.rhythm;
    if (next === undefined || trust === 0) return undefined;
    const candidates = this.listCandidates(pools, next.intervalCount);
    if (candidates.length === 0) return undefined;
    return { ...next, pools: candidates, confidence: trust / candidates.length };
  }

  /**
   * Records the beginning of a peak.
   * @param peak - The peak.
   * @param pools - Pools that may have peaks.
   * @returns How it agrees with the turns.
   */
  record(peak: SeenPeak, pools: readonly string[]): RhythmMatch {
    const { pool, beganAtMs } = peak;
    if (!peak.isBeginSeen) return this.recordUnseenBegin(peak, pools);
    if (pool === this.turnPools.at(-1)) {
      if (this.getNextBegin() === undefined) this.rhythm.restartAt(beganAtMs);
      return 'unexpected';
    }
    this.expire(beganAtMs);
    const next = this.getNextBegin();
    const { lastBeganAtMs } = this.rhythm.state;
    const isCandidate = this.listCandidates(pools, next?.intervalCount ?? 1).includes(pool);
    const isOnTime = next !== undefined && beganAtMs >= next.earliestMs;
    if (!isCandidate && isOnTime && this.listOffsetsMs().length > 0) {
      this.substitute = peak;
      return 'unexpected';
    }
    const match = this.rhythm.record(beganAtMs, isCandidate, this.listOffsetsMs());
    if (this.rhythm.state.lastBeganAtMs !== beganAtMs) return match;
    const isNeighbour = next === undefined || next.intervalCount === 1;
    if (isNeighbour && lastBeganAtMs !== undefined) {
      this.addSuccessor({ pool, intervalMs: beganAtMs - lastBeganAtMs });
    }
    this.addTurn(pool);
    return match;
  }

  private getNextBegin(): ExpectedBegin | undefined {
    return this.rhythm.getNext(this.listOffsetsMs());
  }

  /** Accepts the peak that another pool had at the time of an expected turn that did not come. */
  private acceptSubstitute(lastBeganAtMs: number | undefined): void {
    const { substitute } = this;
    this.substitute = undefined;
    if (substitute === undefined || lastBeganAtMs === undefined) return;
    const { pool, beganAtMs } = substitute;
    this.addSuccessor({ pool, intervalMs: beganAtMs - lastBeganAtMs });
    this.rhythm.restartAt(beganAtMs);
    this.addTurn(pool);
  }

  /** Takes a peak that was found in progress as the turn that was expected, if it may be that. */
  private recordUnseenBegin({ pool, beganAtMs }: SeenPeak, pools: readonly string[]): RhythmMatch {
    if (pool === this.turnPools.at(-1)) return 'unexpected';
    const next = this.getNextBegin();
    if (!this.listCandidates(pools, next?.intervalCount ?? 1).includes(pool)) return 'unexpected';
    const isLastBeginKnown = this.rhythm.state.lastBeganAtMs !== undefined;
    // Without the time of the latest turn, this one is known to be over or in progress, no more.
    if (next === undefined && isLastBeginKnown) return 'unexpected';
    if (next !== undefined && next.earliestMs > beganAtMs) return 'unexpected';
    if (next !== undefined) this.rhythm.restartAt(Math.min(next.atMs, beganAtMs));
    this.addTurn(pool);
    return next === undefined ? 'unexpected' : 'onTime';
  }

  private addSuccessor(turn: SuccessorTurn): void {
    const lastPool = this.turnPools.at(-1);
    // Peaks that begin together are no turns, and the later one may be seen first.
    if (lastPool === undefined || turn.intervalMs < MIN_INTERVAL_MS) return;
    const former = this.successors.get(lastPool);
    const formerIntervalMs = former?.pool === turn.pool ? former.intervalMs : turn.intervalMs;
    const intervalMs = (formerIntervalMs + turn.intervalMs) / 2;
    this.successors.set(lastPool, { pool: turn.pool, intervalMs });
  }

  private addTurn(pool: string): void {
    this.substitute = undefined;
    this.turnPools = [...this.turnPools.filter((other) => other !== pool), pool];
  }

  /** Lists the pools that may have one of the next turns. */
  private listCandidates(pools: readonly string[], turnCount: number): readonly string[] {
    const lastPool = this.turnPools.at(-1);
    if (lastPool === undefined) return pools;
    const followers = this.listFollowers(lastPool, turnCount)
      .map(({ pool }) => pool)
      .filter((pool) => pools.includes(pool));
    if (followers.length > 0) return followers;
    const others = pools.filter((pool) => !this.turnPools.includes(pool));
    if (others.length > 0) return others;
    // Each pool has had a turn, so the round begins again.
    return this.turnPools.filter((pool) => pools.includes(pool)).slice(0, turnCount);
  }

  /** Lists the times from the latest turn to the next ones, as far as earlier rounds show them. */
  private listOffsetsMs(): readonly number[] {
    const lastPool = this.turnPools.at(-1);
    if (lastPool === undefined) return [];
    const intervalsMs = this.listFollowers(lastPool, MAX_TURN_COUNT).map(
      ({ intervalMs }) => intervalMs,
    );
    return intervalsMs.map((_, index) =>
      intervalsMs.slice(0, index + 1).reduce((sum, intervalMs) => sum + intervalMs, 0),
    );
  }

  private listFollowers(pool: string, count: number): readonly SuccessorTurn[] {
    const follower = this.successors.get(pool);
    if (follower === undefined || count === 0) return [];
    return [follower, ...this.listFollowers(follower.pool, count - 1)];
  }
}
