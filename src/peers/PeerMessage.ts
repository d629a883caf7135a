import type { ErrorKind, Outcome } from '../errors/index.js';
import type { DurableJobSpec, DurableJobState } from '../jobs/index.js';
import type { LogEntry } from '../platform/index.js';
import type { Urgency } from '../settings/index.js';
import type { PartitionOwner } from '../store/GroupPort.js';
import type { PoolDemand } from '../systems/PoolDemand.js';
import type { LeasedTargetAddress, TargetAnswer, TargetCall } from '../targets/LeasedTargetPort.js';

/** Request for a slot, from an entry instance to a pool's home. */
export interface GrantRequest {
  readonly type: 'request-grant';
  /** Id of this attempt, unique over all attempts of all requests. */
  readonly attemptId: string;
  readonly requestId: string;
  readonly pool: string;
  readonly team: string;
  readonly jobKind: string;
  readonly urgency: Urgency;
  readonly coreCount: number;
  readonly memoryMb: number;
  readonly idempotent: boolean;
  /** Wall-clock time after which the caller has no use for the answer. */
  readonly deadlineAtMs: number;
  /** Hash of the request, to tell a repeat from a reused id. */
  readonly fingerprint: string;
  /** VMs that already failed this request. */
  readonly excludedVms: readonly string[];
}

/** How the use of a grant ended, as its entry instance saw it. */
export type GrantResult = 'run' | 'failed' | 'not-started' | 'unknown' | 'cancelled';

/** What an entry asks of the home of a durable job's pool. */
export type DurableJobRequest =
  | { readonly type: 'submit-durable-job'; readonly pool: string; readonly job: DurableJobSpec }
  | { readonly type: 'get-durable-job'; readonly pool: string; readonly jobId: string }
  | { readonly type: 'cancel-durable-job'; readonly pool: string; readonly jobId: string }
  | { readonly type: 'count-pending-jobs'; readonly pool: string; readonly queue: string }
  /** From the fleet's home: which targets get no new task for a while, and what the pool needs. */
  | {
      readonly type: 'sync-pool';
      readonly pool: string;
      readonly drainedTargets: readonly string[];
      /** How long the drains last without another message; a length, as clocks differ. */
      readonly drainedForMs: number;
      /** Lifetimes of targets that are over by the platform's list of VMs. */
      readonly endedTargets: readonly string[];
      /** Those of them that crashed. */
      readonly crashedTargets: readonly string[];
      /** Those of them that crashed together with others of their rack. */
      readonly lostWithRack: readonly string[];
    };

/** A call to a target that another instance is to make for the target's home. */
export interface TargetCallRequest {
  readonly type: 'call-target';
  readonly target: LeasedTargetAddress;
  readonly call: TargetCall;
}

/** What one instance asks of another; each gets exactly one reply. */
export type PeerRequest =
  | GrantRequest
  | { readonly type: 'cancel-request'; readonly pool: string; readonly attemptId: string }
  | {
      readonly type: 'finish-grant';
      readonly pool: string;
      readonly grantId: string;
      readonly requestId: string;
      readonly jobKind: string;
      readonly vm: string;
      /** Whether the request was claimed at the log and so has to be settled there. */
      readonly isClaimed: boolean;
      readonly result: GrantResult;
      /** What the caller is told, which settles the claim of a non-idempotent request. */
      readonly outcome: Outcome;
      readonly ranMs: number;
      /** Most memory that the target measured for the run; absent where it told none. */
      readonly usedMemoryMb?: number;
    }
  | { readonly type: 'renew-grants'; readonly pool: string; readonly grantIds: readonly string[] }
  | { readonly type: 'list-grants'; readonly pool: string }
  | { readonly type: 'push-entries'; readonly entries: readonly LogEntry[] }
  | { readonly type: 'get-entries'; readonly fromOffset: number; readonly maxCount: number }
  | { readonly type: 'get-tables' }
  | { readonly type: 'get-pool-state'; readonly pool: string }
  | { readonly type: 'get-job'; readonly jobId: string }
  | { readonly type: 'cancel-job'; readonly jobId: string }
  | { readonly type: 'explain'; readonly subject: string }
  /** Which instances hold the partitions, as the asked one has read it last. */
  | { readonly type: 'list-homes' }
  /** An instance that takes part in holding homes and has none tells of itself. */
  | { readonly type: 'announce-member'; readonly member: string }
  | TargetCallRequest
  | DurableJobRequest;

/** A grant as the entry instance holds it. */
export interface GrantReply {
  readonly type: 'granted';
  readonly grantId: string;
  readonly term: number;
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  /** Time that the request spent at the home before the grant began. */
  readonly heldMs: number;
}

/** Answer of one instance to another. */
export type PeerReply =
  | GrantReply
  | {
      readonly type: 'refused';
      readonly kind: ErrorKind;
      readonly message: string;
      /** Wall-clock time at which to come back. */
      readonly retryAtMs?: number;
    }
  | { readonly type: 'done' }
  /** State of a durable job; without one the home is sure that there is no such job. */
  | { readonly type: 'durable-job'; readonly state?: DurableJobState }
  | { readonly type: 'pending-jobs'; readonly count: number }
  | { readonly type: 'pool-demand'; readonly demand: PoolDemand }
  | { readonly type: 'target-answer'; readonly answer: TargetAnswer }
  | {
      readonly type: 'homes';
      readonly owners: readonly PartitionOwner[];
      /** Time since the reading; a length, as clocks differ. */
      readonly ageMs: number;
    }
  | { readonly type: 'grants'; readonly grants: readonly HeldGrant[] }
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] }
  | { readonly type: 'state'; readonly json: string };

/** A grant that an entry instance still uses, as it tells a new home. */
export interface HeldGrant {
  readonly grantId: string;
  readonly requestId: string;
  readonly team: string;
  readonly jobKind: string;
  readonly urgency: Urgency;
  readonly vm: string;
  readonly coreCount: number;
  readonly memoryMb: number;
}

/** Address of a peer. */
export interface PeerAddress {
  readonly instance: string;
  readonly host: string;
  readonly port: number;
}

/** Requests to other instances. */
export interface PeerPort {
  /**
   * Sends a request to a peer and waits for its reply.
   * @param peer - Which instance, and where it listens.
   * @param request - What to ask.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `peer-unavailable` without a reply; the peer may have acted.
   */
  call(peer: PeerAddress, request: PeerRequest, waitMs: number): Promise<PeerReply>;
}

/** Handles the requests of peers; what it throws reaches the peer as a `refused` reply. */
export type PeerHandler = (from: string, request: PeerRequest) => Promise<PeerReply>;
