import { PoolHome, type PoolHomeOptions } from '../home/index.js';
import { HomePlanner, type HomeDecision } from '../membership/index.js';
import type { PeerPort, PeerReply, PeerRequest } from '../peers/index.js';
import type { PoolSettings } from '../settings/index.js';
import { summariseWaves } from '../systems/index.js';
import type { HomeRow, InstanceRow } from '../tables/index.js';
import { assertNever, KeyedOnce } from '../utils/index.js';
import { toPeerAddress } from './toPeerAddress.js';

type SharedHomeOptions = Omit<PoolHomeOptions, 'pool' | 'term' | 'settings' | 'heldGrants'>;

/** Options of {@link HomeManager}. */
export interface HomeManagerOptions extends SharedHomeOptions {
  readonly peers: PeerPort;
  /** Tells whether the log cannot be read just now. */
  readonly isLogOut: () => boolean;
  /** Gets the settings in force for a pool. */
  readonly getPoolSettings: (pool: string) => PoolSettings | undefined;
  /** Lists the grants that this instance uses itself, for a pool that it takes over. */
  readonly listOwnGrants: (pool: string) => PoolHomeOptions['heldGrants'];
}

/** Least time between two rounds of decisions; each ranks every instance for every pool. */
const DECIDE_EVERY_MS = 200;
const CANDIDATE_STEP_MS = 500;
const SETTLE_MS = 2_000;
const WRITE_WAIT_MS = 3_000;
/** Longest wait for an entry instance to list its grants; its targets bound what is missed. */
const COLLECT_WAIT_MS = 700;

/** Opens and closes the homes that the log gives to this instance, and claims vacant pools. */
export class HomeManager {
  private readonly options: HomeManagerOptions;

  private readonly homes = new Map<string, PoolHome>();

  private readonly keeper: HomePlanner;

  private readonly actions = new KeyedOnce();

  private decideAtMs = Number.NEGATIVE_INFINITY;

  private isStopping = false;

  /**
   * Creates a manager without homes.
   * @param options - What every home works with, and the ways to peers and settings.
   */
  constructor(options: HomeManagerOptions) {
    this.options = options;
    this.keeper = new HomePlanner({
      instance: options.instance,
      candidateStepMs: CANDIDATE_STEP_MS,
      settleMs: SETTLE_MS,
    });
  }

  /**
   * Gets the home of a pool.
   * @param pool - Pool as `team/pool`.
   * @returns The home, or undefined where this instance does not decide for the pool.
   */
  get(pool: string): PoolHome | undefined {
    return this.homes.get(pool);
  }

  /**
   * Lists the open homes.
   * @returns The homes.
   */
  list(): readonly PoolHome[] {
    return Array.from(this.homes.values());
  }

  /** Runs the manager once: claims and releases, opening and closing, and each home's systems. */
  tick(): void {
    this.closeLost();
    if (this.isStopping) return;
    this.openGiven();
    this.writeDecisions();
    const progress = summariseWaves(this.options.fleet.waveSteps.list());
    this.homes.forEach((home, pool) => {
      const settings = this.options.getPoolSettings(pool);
      if (settings !== undefined) home.tick(settings, progress);
    });
  }

  /** Closes every home, so that whoever waits asks the next one. */
  stop(): void {
    this.isStopping = true;
    this.homes.forEach((home) => home.close());
    this.homes.clear();
  }

  /** Claims and opens homes again after {@link stop}. */
  resume(): void {
    this.isStopping = false;
  }

  /**
   * Opens a stand-in for the home of a pool while the log is out. It holds no lease, so it places
   * idempotent jobs and does nothing else; it is closed when the log answers again.
   * @param pool - Pool as `team/pool`.
   * @returns The stand-in, or undefined where the log answers or the pool is not known.
   */
  async openStandIn(pool: string): Promise<PoolHome | undefined> {
    const row = this.options.fleet.homes.get(pool);
    if (row === undefined || this.isStopping || !this.options.isLogOut()) return undefined;
    await this.open(row);
    return this.homes.get(pool);
  }

  private closeLost(): void {
    this.homes.forEach((home, pool) => {
      const row = this.options.fleet.homes.get(pool);
      const isOwn = row?.instance === this.options.instance || this.options.isLogOut();
      if (isOwn && row?.term === home.term) return;
      home.close();
      this.homes.delete(pool);
    });
  }

  private openGiven(): void {
    this.options.fleet.homes
      .list()
      .filter((row) => row.instance === this.options.instance && !this.homes.has(row.pool))
      .forEach((row) => this.actions.start(`open ${row.pool}`, () => this.open(row)));
  }

  /**
   * Failure: the former home was lost with its list of grants, and the new one would fill slots
   * that are in use. Every entry instance that runs is asked for the grants that it holds.
   */
  private async open(row: HomeRow): Promise<void> {
    const settings = this.options.getPoolSettings(row.pool);
    if (settings === undefined) return;
    const others = this.options.fleet.instances
      .list()
      .filter((peer) => peer.state === 'joined' && peer.instance !== this.options.instance);
    const collected = await Promise.all(others.map((peer) => this.collect(peer, row.pool)));
    const heldGrants = [...collected.flat(), ...this.options.listOwnGrants(row.pool)];
    const now = this.options.fleet.homes.get(row.pool);
    if (this.isStopping || now?.instance !== row.instance || now?.term !== row.term) return;
    const { pool, term } = row;
    if (this.homes.has(pool)) return;
    this.homes.set(pool, new PoolHome({ ...this.options, pool, term, settings, heldGrants }));
  }

  private async collect(peer: InstanceRow, pool: string): Promise<PoolHomeOptions['heldGrants']> {
    const request: PeerRequest = { type: 'list-grants', pool };
    const reply = await this.options.peers
      .call(toPeerAddress(peer), request, COLLECT_WAIT_MS)
      .catch((): PeerReply => ({ type: 'done' }));
    if (reply.type !== 'grants') return [];
    return reply.grants.map((grant) => ({ ...grant, entry: peer.instance }));
  }

  private writeDecisions(): void {
    const { fleet, clock, holdsLease } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.decideAtMs || !holdsLease()) return;
    this.decideAtMs = nowMs + DECIDE_EVERY_MS;
    this.keeper.decide(fleet, nowMs).forEach((decision) => {
      this.actions.start(`write ${decision.pool}`, () => this.write(decision));
    });
  }

  private async write(decision: HomeDecision): Promise<void> {
    const { instance, writer, clock, events } = this.options;
    const { pool } = decision;
    const deadlineMs = clock.monotonicMs() + WRITE_WAIT_MS;
    switch (decision.type) {
      case 'claim': {
        const { expectedTerm } = decision;
        const body = { type: 'home-claimed', pool, instance, expectedTerm } as const;
        const result = await writer.write(body, { deadlineMs });
        if (result.type !== 'accepted') return;
        events.write('homeClaimed', { pool, term: expectedTerm + 1 });
        break;
      }
      case 'release': {
        this.homes.get(pool)?.close();
        this.homes.delete(pool);
        const body = { type: 'home-released', pool, instance, term: decision.term } as const;
        await writer.write(body, { deadlineMs });
        events.write('homeReleased', { pool, term: decision.term });
        break;
      }
      default:
        assertNever(decision);
    }
  }
}
