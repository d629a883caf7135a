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
  /** Tells whether the log is currently unreadable. */
  readonly isLogOut: () => boolean;
}

/** Instance that acts for a pool's home while the home is silent and the log is unreadable. */
interface StandIn {
  readonly instance: string;
  /** Term of the home that it replaces; a later term ends the replacement. */
  readonly term: number;
}

const MAX_CANDIDATE_COUNT = 3;

/** Finds the home of a pool from the log, and sends requests to it, locally or at a peer. */
export class HomeRouter {
  private readonly options: HomeRouterOptions;

  private readonly standIns = new Map<string, StandIn>();

  /**
   * Creates a router.
   * @param options - State from the log, and the local and remote request handlers.
   */
  constructor(options: HomeRouterOptions) {
    this.options = options;
  }

  /**
   * Gets the home of a pool.
   * @param pool - Pool as `team/pool`.
   * @returns The instance, or undefined if the pool has no home.
   */
  getHome(pool: string): InstanceRow | undefined {
    const { fleet } = this.options;
    const instance = fleet.homes.get(pool)?.instance;
    return instance === undefined ? undefined : fleet.instances.get(instance);
  }

  /**
   * Sends a request to the home of a pool, or to its stand-in.
   * @param pool - Pool as `team/pool`.
   * @param request - The request.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `home-unavailable` if the pool has no home, so the request was
   * certainly not handled, or `peer-unavailable` if no reply came, so the home may have acted.
   */
  async call(pool: string, request: PeerRequest, waitMs: number): Promise<PeerReply> {
    const standIn = this.findStandIn(pool);
    try {
      return await this.callInstance(standIn ?? this.getHomeOrThrow(pool), request, waitMs);
    } catch (thrown) {
      if (standIn !== undefined) this.standIns.delete(pool);
      if (!this.mayUseStandIn(request)) throw thrown;
      return this.callStandIns(pool, request, waitMs, thrown);
    }
  }

  private getHomeOrThrow(pool: string): InstanceRow {
    return this.getHome(pool) ?? throwError('home-unavailable', `Pool ${pool} has no home now.`);
  }

  private callInstance(row: InstanceRow, request: PeerRequest, waitMs: number): Promise<PeerReply> {
    const { instance, handleLocally, peers } = this.options;
    if (row.instance === instance) return handleLocally(instance, request);
    const address = { instance: row.instance, host: row.host, port: row.peerPort };
    return peers.call(address, request, waitMs);
  }

  /**
   * Tells whether a stand-in may handle a request.
   *
   * If a home is lost while the log is unreadable, no other instance can become the home, and the
   * pool would have none for the whole outage. Idempotent requests do not need a real home: at
   * worst, a slot is granted twice, and the target refuses the second task.
   */
  private mayUseStandIn(request: PeerRequest): boolean {
    return request.type === 'request-grant' && request.idempotent && this.options.isLogOut();
  }

  private async callStandIns(
    pool: string,
    request: PeerRequest,
    waitMs: number,
    cause: unknown,
  ): Promise<PeerReply> {
    const { fleet } = this.options;
    const home = fleet.homes.get(pool);
    const instances = fleet.instances
      .list()
      .filter((row) => row.state === 'joined' && row.instance !== home?.instance)
      .map((row) => row.instance);
    const candidates = rankByRendezvous(pool, instances).slice(0, MAX_CANDIDATE_COUNT);
    const callCandidate = async (index: number, thrown: unknown): Promise<PeerReply> => {
      const instance = candidates[index];
      if (instance === undefined) throw thrown;
      try {
        const row = fleet.instances.getOrThrow(instance);
        const reply = await this.callInstance(row, request, waitMs);
        this.standIns.set(pool, { instance, term: home?.term ?? 0 });
        return reply;
      } catch (next) {
        return callCandidate(index + 1, next);
      }
    };
    return callCandidate(0, cause);
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
