import type { PeerPort, PeerReply, PeerRequest } from '../peers/index.js';
import type { FleetTables, InstanceRow } from '../tables/index.js';
import { throwError } from '../errors/index.js';

/** Options of {@link HomeRouter}. */
export interface HomeRouterOptions {
  /** This instance. */
  readonly instance: string;
  readonly fleet: FleetTables;
  readonly peers: PeerPort;
  /** Handles requests to pools whose home is this instance. */
  readonly handleLocally: (from: string, request: PeerRequest) => Promise<PeerReply>;
}

/** Finds the home of a pool by the log, and asks it: here, or at a peer. */
export class HomeRouter {
  private readonly options: HomeRouterOptions;

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
   * Asks the home of a pool.
   * @param pool - Pool as `team/pool`.
   * @param request - What to ask.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `home-unavailable` where the pool has no home, which certainly
   * did nothing, or `peer-unavailable` where no reply came, and the home may have acted.
   */
  async ask(pool: string, request: PeerRequest, waitMs: number): Promise<PeerReply> {
    const home = this.getHome(pool);
    if (home === undefined) return throwError('home-unavailable', `${pool} has no home just now.`);
    const { instance, handleLocally, peers } = this.options;
    if (home.instance === instance) return handleLocally(instance, request);
    const address = { instance: home.instance, host: home.host, port: home.peerPort };
    return peers.call(address, request, waitMs);
  }
}
