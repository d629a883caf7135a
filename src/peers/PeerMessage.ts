import type { ErrorKind, Outcome } from '../errors/index.js';
import type {
  CallerIdentity,
  DurableJobSpec,
  DurableJobState,
  PoolSearch,
  QueueReference,
} from '../jobs/index.js';
import type { LogEntry } from '../platform/index.js';
import type { Urgency } from '../settings/index.js';
import type { PartitionOwner } from '../store/GroupPort.js';
import type { LimitOrder, LimitPart } from '../systems/LimitPart.js';
import type { OrganisationUse } from '../systems/OrganisationUse.js';
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
  /** Wall-clock time after which the caller can no longer use the answer. */
  readonly deadlineAtMs: number;
  /** Hash of the request, which distinguishes a repeated request from a reused id. */
  readonly fingerprint: string;
  /** VMs that already failed this request. */
  readonly excludedVms: readonly string[];
}

/** How the use of a grant ended, as observed by its entry instance. */
export type GrantResult = 'run' | 'failed' | 'not-started' | 'unknown' | 'cancelled';

/** Fields of a request that an entry passes on to the home of a pool for its caller. */
interface OfCaller {
  readonly pool: string;
  /** Whose call it is; absent if the call needs no key. */
  readonly caller?: CallerIdentity;
}

/** The queue as the entry's configuration has it; instances of earlier releases send none. */
interface OfQueue {
  readonly queue: QueueReference;
}

/** Request about durable jobs to the home of their pool. */
export type DurableJobRequest =
  | (OfCaller & {
      readonly type: 'submit-durable-job';
      readonly job: DurableJobSpec;
      /** Search in which no home had the job; absent if there was none. */
      readonly search?: PoolSearch;
    })
  /** Asks, for a later pool of the queue, whether a job is stored; if not, it never will be. */
  | (OfCaller & OfQueue & { readonly type: 'find-durable-job'; readonly jobId: string })
  | (OfCaller & Partial<OfQueue> & { readonly type: 'get-durable-job'; readonly jobId: string })
  | (OfCaller & Partial<OfQueue> & { readonly type: 'cancel-durable-job'; readonly jobId: string })
  | (OfCaller & {
      readonly type: 'count-pending-jobs';
      readonly queue: string;
      readonly address?: string;
      readonly configurationVersion?: number;
    })
  /** Requests what organisations use and may use in the pool. */
  | { readonly type: 'get-organisation-use'; readonly pool: string }
  /** From the fleet's home: drained and ended targets. The reply holds the pool's demand. */
  | {
      readonly type: 'sync-pool';
      readonly pool: string;
      readonly drainedTargets: readonly string[];
      /** Duration of the drains without another message; no deadline, because clocks differ. */
      readonly drainedForMs: number;
      /** Target lifetimes that have ended according to the platform's list of VMs. */
      readonly endedTargets: readonly string[];
      /** Ended targets that crashed. */
      readonly crashedTargets: readonly string[];
      /** Ended targets that crashed together with other targets of their rack. */
      readonly lostWithRack: readonly string[];
      /** Parts of the limits of organisations for the pool. */
      readonly limits?: LimitOrder;
    };

/** Request to call a target on behalf of the target's home. */
export interface TargetCallRequest {
  readonly type: 'call-target';
  readonly target: LeasedTargetAddress;
  readonly call: TargetCall;
}

/** Request of one instance to another; each request gets exactly one reply. */
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
      /** Whether the request was claimed in the log and therefore has to be settled there. */
      readonly isClaimed: boolean;
      readonly result: GrantResult;
      /** Outcome that the caller receives; it settles the claim of a non-idempotent request. */
      readonly outcome: Outcome;
      readonly ranMs: number;
      /** Peak memory use of the run as measured by the target; absent if the target sent none. */
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
  /** Requests the owners of the partitions, as the receiver has last read them. */
  | { readonly type: 'list-homes' }
  | ConfigurationRequest
  /** Announces an instance that can hold homes but holds none. */
  | { readonly type: 'announce-member'; readonly member: string }
  | TargetCallRequest
  | DurableJobRequest;

/**
 * Requests the version of the configuration in force, or its record. They are apart, as a record
 * fills a narrow link for seconds, and several peers are asked for their versions at a time.
 */
export type ConfigurationRequest =
  { readonly type: 'get-configuration-version' } | { readonly type: 'get-configuration-record' };

/** Grant of a slot to an entry instance. */
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

/** Reply of one instance to another. */
export type PeerReply =
  | GrantReply
  | {
      readonly type: 'refused';
      readonly kind: ErrorKind;
      readonly message: string;
      /** Wall-clock time at which to retry. */
      readonly retryAtMs?: number;
      /** Time after which to submit a durable job again; no deadline, because clocks differ. */
      readonly retryAfterMs?: number;
      /** Whether the callee is the home but has not read its jobs yet. */
      readonly isHomeLoading?: boolean;
    }
  | { readonly type: 'done' }
  /** State of a durable job; if absent, the home is certain that it does not have the job. */
  | {
      readonly type: 'durable-job';
      readonly state?: DurableJobState;
      /** Other pools of the queue, whose homes may have the job. */
      readonly otherPools?: readonly string[];
    }
  | {
      readonly type: 'pending-jobs';
      readonly count: number;
      /** Other pools of the queue, whose homes may have more jobs of it. */
      readonly otherPools?: readonly string[];
    }
  /** A submission was not stored: its job has to be searched for first. */
  | { readonly type: 'search-first'; readonly search: PoolSearch }
  | { readonly type: 'found-job'; readonly isStored: boolean }
  | { readonly type: 'pool-demand'; readonly demand: PoolDemand }
  | {
      readonly type: 'organisation-use';
      readonly use: readonly OrganisationUse[];
      /** Parts of limits that are in force in the pool. */
      readonly parts: readonly LimitPart[];
    }
  | { readonly type: 'target-answer'; readonly answer: TargetAnswer }
  | {
      readonly type: 'homes';
      readonly owners: readonly PartitionOwner[];
      /** Time since the owners were read; no timestamp, because clocks differ. */
      readonly ageMs: number;
    }
  /** Version in force at the callee, and the time since it was known to be the newest. */
  | { readonly type: 'configuration-version'; readonly version: number; readonly ageMs: number }
  | {
      readonly type: 'configuration-record';
      readonly version: number;
      readonly ageMs: number;
      /** Its record as operators have published it, compressed. */
      readonly compressed: Uint8Array;
    }
  | { readonly type: 'grants'; readonly grants: readonly HeldGrant[] }
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] }
  | { readonly type: 'state'; readonly json: string };

/** A grant that an entry instance still uses, as reported to a new home. */
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
   * @param peer - Address of the peer.
   * @param request - The request.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `peer-unavailable` if no reply arrives; the peer may still
   * have handled the request.
   */
  call(peer: PeerAddress, request: PeerRequest, waitMs: number): Promise<PeerReply>;
}

/** Handles requests of peers; an error that it throws is sent as a `refused` reply. */
export type PeerHandler = (from: string, request: PeerRequest) => Promise<PeerReply>;
