import type { Outcome } from '../errors/index.js';
import type { TeamSettings, Urgency } from '../settings/index.js';

/** A VM as the platform's lagging list last showed it. */
export interface VmRow {
  readonly vm: string;
  readonly worker: string;
  readonly rack: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  readonly coreCount: number;
  readonly memoryMb: number;
  readonly acceleratorCount: number;
  readonly slotCount: number;
  readonly state: 'live' | 'leaving' | 'gone';
  /** Identity of the VM's current boot; it changes with every reboot. */
  readonly bootId: string;
}

/** Settings of a team that are in force. */
export interface SettingsRow {
  readonly team: string;
  /** Offset of the accepted record, plus one. */
  readonly version: number;
  readonly settings: TeamSettings;
  readonly document: string;
  readonly author: string;
}

/** One accepted or rejected publication, for the history that operators see. */
export interface PublicationRow {
  readonly offset: number;
  readonly team: string;
  readonly author: string;
  readonly verdict: 'accepted' | 'rejected';
  readonly reason: string;
}

/** A daemon that has joined, by the log. */
export interface InstanceRow {
  readonly instance: string;
  readonly host: string;
  readonly peerPort: number;
  readonly callerPort: number;
  readonly dataCentre: string;
  /** Offset of its join or latest accepted renewal. */
  readonly renewalOffset: number;
  readonly state: 'joined' | 'left' | 'lapsed';
}

/** Which instance decides for a pool. */
export interface HomeRow {
  readonly pool: string;
  /** Absent while nobody holds the pool. */
  readonly instance: string | undefined;
  /** Grows with each accepted claim. */
  readonly term: number;
}

/** Which pool a VM belongs to. */
export interface AssignmentRow {
  readonly vm: string;
  /** Absent between a release and the next adoption. */
  readonly pool: string | undefined;
  /** Offset of the last accepted change, plus one. */
  readonly version: number;
}

/** An operator's order to keep new work off a VM. */
export interface DrainRow {
  readonly vm: string;
  readonly author: string;
}

/** A maintenance wave over the VMs of some pools. */
export interface WaveRow {
  readonly wave: string;
  readonly pools: readonly string[];
  readonly state: 'running' | 'paused';
  readonly reason: string;
  readonly author: string;
  readonly startedOffset: number;
  /** Offset of the record with which its last VM was done; undefined while there is work left. */
  readonly finishedOffset?: number;
}

/** One VM's step within a wave. */
export interface WaveStepRow {
  readonly wave: string;
  readonly pool: string;
  readonly vm: string;
  readonly term: number;
  /** Boot that the VM showed before the step. */
  readonly bootId: string;
  readonly state: 'intended' | 'maintained' | 'failed';
}

/** A non-idempotent request that some instance may have sent. */
export interface ClaimRow {
  readonly requestId: string;
  readonly pool: string;
  readonly entry: string;
  readonly fingerprint: string;
  /** Wall-clock time after which the claim may be forgotten. */
  readonly keepUntilMs: number;
  /** Undefined while the request is under way. */
  readonly outcome: Outcome | undefined;
  /** Offset of the record with which the claim stands. */
  readonly claimedOffset?: number;
  /** Whether an earlier claim of the request was settled as not run. */
  readonly isRepeat?: boolean;
}

/** What the fold decided about a record when it first met it. */
export type RecordVerdict =
  | {
      readonly type: 'accepted';
      /** Claims of the record that were refused because their request is claimed already. */
      readonly refusedRequestIds?: readonly string[];
    }
  | { readonly type: 'rejected'; readonly reason: string };

/** Verdict on a record by its id, so that a repeated append changes nothing. */
export interface VerdictRow {
  readonly recordId: string;
  readonly offset: number;
  readonly verdict: RecordVerdict;
}

/** A subtree on which this program must not decide, because it cannot read all of its records. */
export interface FrozenRow {
  /** Team whose subtree is frozen, or `*` for everything. */
  readonly subtree: string;
  readonly formatVersion: number;
  readonly offset: number;
}

/** Term of a pool that is in nobody's settings any more, so that no term is ever given twice. */
export interface RetiredHomeRow {
  readonly pool: string;
  readonly term: number;
}

/** Latest wall-clock time that an instance wrote into its claims. */
export interface WriterClockRow {
  readonly instance: string;
  readonly wallMs: number;
}

/** What an entry instance asks of a pool for one request: a slot of a size. */
interface SlotRequest {
  readonly requestId: string;
  readonly entry: string;
  readonly pool: string;
  readonly team: string;
  readonly jobKind: string;
  readonly urgency: Urgency;
  readonly coreCount: number;
  readonly memoryMb: number;
}

/** A slot given to an entry instance for one request. */
export interface GrantRow extends SlotRequest {
  /** Same as the attempt's id in the queue. */
  readonly grantId: string;
  readonly vm: string;
  readonly grantedAtMs: number;
  /** Monotonic time at which the grant ends unless its entry instance renews it. */
  readonly deadlineMs: number;
}

/** A request that waits for a slot. */
export interface QueuedRow extends SlotRequest {
  /** Id of this attempt, unique over all attempts of all requests. */
  readonly attemptId: string;
  readonly queuedAtMs: number;
  /** Monotonic time after which the caller has no use for the answer. */
  readonly deadlineMs: number;
  /** VMs that already failed this request. */
  readonly excludedVms: readonly string[];
}
