import { throwError } from '../errors/index.js';
import type { PeerPort, PeerReply, PeerRequest } from '../peers/index.js';
import type { FleetTables, InstanceRow } from '../tables/index.js';
import { rankByRendezvous } from '../utils/index.js';

/** Options of {@link HomeRouter}. */
export interface HomeRouterOptions {
  /** This instance. */
  readonly instance: string;
  readonly fleet: FleetTables;
  readonly peers: PeerPort;
  /** Handles requests that this instance sends to itself. */
  readonly handleLocally: (from: string, request: PeerRequest) => Promise<PeerReply>;
  /** Tells whether the log cannot be read just now. */
  readonly isLogOut: () => boolean;
}

/** Instance that decides for a pool while the log is out and its home does not answer. */
interface StandIn {
  readonly instance: string;
  /** Term of the home that it stands in for; a later one ends it. */
  readonly term: number;
}

const MAX_CANDIDATE_COUNT = 3;

/** Finds the home of a pool by the log, and asks it: here, or at a peer. */
export class HomeRouter {
  private readonly options: HomeRouterOptions;

  private readonly standIns = new Map<string, StandIn>();

  /**
   * Creates a router.
   * @param options - State by the log, and the ways to ask.
   */
  constructor(options: HomeRouterOptions) {
    this.options = options;
  }

  /**
   * Gets the instance that decides for a pool.
   * @param pool - Pool as `team/pool`.
   * @returns The instance, or undefined while there is none.
   */
  getHome(pool: string): InstanceRow | undefined {
    const { fleet } = this.options;
    const instance = fleet.homes.get(pool)?.instance;
    return instance === undefined ? undefined : fleet.instances.get(instance);
  }

  /**
   * Asks the home of a pool, or its stand-in.
   * @param pool - Pool as `team/pool`.
   * @param request - What to ask.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `home-unavailable` where the pool has no home, which certainly
   * did nothing, or `peer-unavailable` where no reply came, and the home may have acted.
   */
  async ask(pool: string, request: PeerRequest, waitMs: number): Promise<PeerReply> {
    const standIn = this.findStandIn(pool);
    try {
      return await this.askInstance(standIn ?? this.getHomeOrThrow(pool), request, waitMs);
    } catch (thrown) {
      if (standIn !== undefined) this.standIns.delete(pool);
      if (!this.mayUseStandIn(request)) throw thrown;
      return this.askStandIns(pool, request, waitMs, thrown);
    }
  }

  private getHomeOrThrow(pool: string): InstanceRow {
    return this.getHome(pool) ?? throwError('home-unavailable', `${pool} has no home just now.`);
  }

  private askInstance(row: InstanceRow, request: PeerRequest, waitMs: number): Promise<PeerReply> {
    const { instance, handleLocally, peers } = this.options;
    if (row.instance === instance) return handleLocally(instance, request);
    const address = { instance: row.instance, host: row.host, port: row.peerPort };
    return peers.call(address, request, waitMs);
  }

  /**
   * Failure: a home is lost while the log is out. No other instance can become the home, and the
   * pool would be without one for the whole outage. Work that may run twice can do without: at
   * worst a slot is given twice, which its target refuses.
   */
  private mayUseStandIn(request: PeerRequest): boolean {
    return request.type === 'request-grant' && request.idempotent && this.options.isLogOut();
  }

  private async askStandIns(
    pool: string,
    request: PeerRequest,
    waitMs: number,
    cause: unknown,
  ): Promise<PeerReply> {
    const { fleet } = this.options;
    const home = fleet.homes.get(pool);
    const names = fleet.instances
      .list()
      .filter((row) => row.state === 'joined' && row.instance !== home?.instance)
      .map((row) => row.instance);
    const candidates = rankByRendezvous(pool, names).slice(0, MAX_CANDIDATE_COUNT);
    const askFrom = async (index: number, thrown: unknown): Promise<PeerReply> => {
      const instance = candidates[index];
      if (instance === undefined) throw thrown;
      try {
        const row = fleet.instances.getOrThrow(instance);
        const reply = await this.askInstance(row, request, waitMs);
        this.standIns.set(pool, { instance, term: home?.term ?? 0 });
        return reply;
      } catch (next) {
        return askFrom(index + 1, next);
      }
    };
    return askFrom(0, cause);
  }

  private findStandIn(pool: string): InstanceRow | undefined {
    const standIn = this.standIns.get(pool);
    if (standIn === undefined) return undefined;
    const { fleet, isLogOut } = this.options;
    if (isLogOut() && fleet.homes.get(pool)?.term === standIn.term) {
      return fleet.instances.get(standIn.instance);
    }
    this.standIns.delete(pool);
    return undefined;
  }
}
