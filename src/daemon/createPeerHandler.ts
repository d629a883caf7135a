import type { Entry, GrantRenewer } from '../entry/index.js';
import type { PoolHome } from '../home/index.js';
import type { LogFollower } from '../log/index.js';
import type { GrantRequest, PeerHandler, PeerReply, PeerRequest } from '../peers/index.js';
import { assertNever } from '../utils/index.js';

/** Options of {@link createPeerHandler}. */
export interface PeerHandlerOptions {
  readonly getHome: (pool: string) => PoolHome | undefined;
  /** Opens a stand-in for a pool's home, or gives undefined where the log answers. */
  readonly openStandIn: (pool: string) => Promise<PoolHome | undefined>;
  readonly keeper: Pick<GrantRenewer, 'list'>;
  readonly entry: () => Pick<Entry, 'getJob' | 'cancelJob'>;
  readonly follower: Pick<LogFollower, 'offer'>;
  readonly readRecentEntries: (fromOffset: number, maxCount: number) => PeerReply;
  readonly serializeTables: () => string;
  readonly explainHere: (subject: string) => readonly string[];
}

const DONE: PeerReply = { type: 'done' };
const NO_HOME: PeerReply = {
  type: 'refused',
  kind: 'home-unavailable',
  message: 'This instance does not decide for the pool.',
};
const NOT_RECORDED: PeerReply = {
  type: 'refused',
  kind: 'log-unavailable',
  message: 'The outcome is not on the log yet.',
};

function toState(value: unknown): PeerReply {
  return { type: 'state', json: JSON.stringify(value) };
}

async function requestGrant(
  options: PeerHandlerOptions,
  from: string,
  request: GrantRequest,
): Promise<PeerReply> {
  const known = options.getHome(request.pool);
  const home = known ?? (request.idempotent ? await options.openStandIn(request.pool) : undefined);
  return home === undefined ? NO_HOME : home.requestGrant(from, request);
}

/**
 * Creates what answers the requests of other instances.
 * @param options - The parts of the daemon that the requests are about.
 * @returns The handler.
 */
export function createPeerHandler(options: PeerHandlerOptions): PeerHandler {
  const atHome = (
    pool: string,
    action: (home: PoolHome) => PeerReply | Promise<PeerReply>,
  ): PeerReply | Promise<PeerReply> => {
    const home = options.getHome(pool);
    return home === undefined ? NO_HOME : action(home);
  };
  return async (from: string, request: PeerRequest): Promise<PeerReply> => {
    switch (request.type) {
      case 'request-grant':
        return requestGrant(options, from, request);
      case 'cancel-request':
        return atHome(request.pool, (home) => {
          home.cancelRequest(request.attemptId);
          return DONE;
        });
      case 'finish-grant':
        return atHome(request.pool, async (home) =>
          (await home.finishGrant(request)) ? DONE : NOT_RECORDED,
        );
      case 'renew-grants':
        return atHome(request.pool, (home) => {
          home.renewGrants(request.grantIds);
          return DONE;
        });
      case 'list-grants':
        return { type: 'grants', grants: options.keeper.list(request.pool) };
      case 'push-entries':
        options.follower.offer(request.entries);
        return DONE;
      case 'get-entries':
        return options.readRecentEntries(request.fromOffset, request.maxCount);
      case 'get-tables':
        return { type: 'state', json: options.serializeTables() };
      case 'get-pool-state':
        return atHome(request.pool, (home) => toState(home.vms.getState()));
      case 'get-job':
        return toState(await options.entry().getJob(request.jobId));
      case 'cancel-job':
        return toState(await options.entry().cancelJob(request.jobId));
      case 'explain':
        return toState(options.explainHere(request.subject));
      case 'submit-durable-job':
      case 'find-durable-job':
      case 'get-durable-job':
      case 'cancel-durable-job':
      case 'count-pending-jobs':
      case 'sync-pool':
      case 'get-organisation-use':
      case 'call-target':
      case 'list-homes':
      case 'get-configuration-version':
      case 'get-configuration-record':
      case 'announce-member':
        return NO_HOME;
      default:
        return assertNever(request);
    }
  };
}
