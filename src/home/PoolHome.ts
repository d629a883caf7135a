import type { GrantRequest, PeerReply } from '../peers/index.js';
import type { PoolSettings } from '../settings/index.js';
import { placeQueuedJobs, type PlacementDecision, type WaveProgress } from '../systems/index.js';
import { PoolTables, type QueuedRow } from '../tables/index.js';
import { assertNever, type Rng } from '../utils/index.js';
import { ClaimRegistry } from './ClaimRegistry.js';
import { ExplainLog } from './ExplainLog.js';
import { createQueuedRow, type InheritedGrant } from './grantRows.js';
import { isRequestInProgress } from './isRequestInProgress.js';
import { type FinishGrant, PoolGrants, type PlacedRequest } from './PoolGrants.js';
import { PoolVms, type PoolVmsOptions } from './PoolVms.js';
import { type Refusal, refuse } from './Refusal.js';
import { WaitingRequests } from './WaitingRequests.js';

/** Options of {@link PoolHome}. */
export interface PoolHomeOptions extends Omit<PoolVmsOptions, 'tables'> {
  /** Pool as `team/pool`. */
  readonly pool: string;
  readonly settings: PoolSettings;
  readonly rng: Rng;
  /** Grants that entry instances still hold from an earlier home of the pool. */
  readonly heldGrants: readonly InheritedGrant[];
}

const CLOSED_REFUSAL = refuse('home-unavailable', 'The pool is being handed to another home.');

/** State and decisions of one pool at its home: queue, grants, claims, VMs and waves. */
export class PoolHome {
  readonly tables: PoolTables;

  readonly explainLog: ExplainLog;

  private readonly options: PoolHomeOptions;

  /** The pool's VMs, with their waves, moves and drains. */
  readonly vms: PoolVms;

  private readonly claimRegistry: ClaimRegistry;

  private readonly waiting: WaitingRequests;

  private readonly grants: PoolGrants;

  private isClosed = false;

  /**
   * Opens the home of a pool.
   * @param options - Pool, term and dependencies.
   */
  constructor(options: PoolHomeOptions) {
    this.options = options;
    const { pool, settings, clock, events } = options;
    const tables = new PoolTables(pool, settings);
    const explainLog = new ExplainLog({ clock });
    this.tables = tables;
    this.explainLog = explainLog;
    this.vms = new PoolVms({ ...options, tables });
    this.claimRegistry = new ClaimRegistry(options);
    this.waiting = new WaitingRequests({ events, explainLog });
    this.grants = new PoolGrants({
      tables,
      clock,
      events,
      explainLog,
      isWaiting: (grantId) => this.waiting.has(grantId),
      onSuspect: (vm) => this.vms.suspect(vm),
    });
    this.grants.adopt(options.heldGrants);
    this.vms.sync();
    events.write('homeOpened', { pool, term: options.term });
  }

  /** Term in which this instance is the home of the pool. */
  get term(): number {
    return this.options.term;
  }

  /**
   * Handles a request for a slot.
   * @param entry - Entry instance that sent the request.
   * @param request - The request.
   * @returns The grant or the refusal, once decided.
   */
  requestGrant(entry: string, request: GrantRequest): Promise<PeerReply> {
    const refusal = this.isClosed ? CLOSED_REFUSAL : this.findRefusal(entry, request);
    if (refusal !== undefined) {
      this.waiting.reportRefusal(request, refusal);
      return Promise.resolve(refusal);
    }
    const enteredAtMs = this.options.clock.monotonicMs();
    this.tables.queue.put(createQueuedRow(entry, request, this.options.clock));
    const reply = this.waiting.add({ entry, request, enteredAtMs });
    this.placeQueued();
    if (this.tables.queue.has(request.attemptId)) {
      const { requestId, jobKind, team } = request;
      this.options.events.write('jobQueued', { requestId, pool: this.tables.pool, jobKind, team });
      this.explainLog.note(requestId, 'queued: no VM of the pool has room for it now');
    }
    return reply;
  }

  /**
   * Cancels a request, or a grant that its entry instance did not use.
   * @param attemptId - Id of the attempt.
   */
  cancelRequest(attemptId: string): void {
    const grant = this.grants.get(attemptId);
    if (grant !== undefined) this.claimRegistry.markUnsent(grant.requestId);
    this.tables.queue.remove(attemptId);
    this.grants.remove(attemptId);
    this.waiting.answer(attemptId, refuse('cancelled', 'The request was withdrawn.'));
    this.placeQueued();
  }

  /**
   * Handles an entry instance's report that it no longer uses a grant.
   * @param finish - The report.
   * @returns Whether the report is fully recorded; if not, the entry instance must send it again.
   */
  async finishGrant(finish: FinishGrant): Promise<boolean> {
    const grant = this.grants.get(finish.grantId);
    if (grant !== undefined) {
      this.grants.finish(grant, finish);
      this.placeQueued();
    }
    if (!finish.isClaimed) return true;
    return this.claimRegistry.settle(finish.requestId, finish.outcome);
  }

  /**
   * Extends the deadlines of grants that are still in use.
   * @param grantIds - The grants.
   */
  renewGrants(grantIds: readonly string[]): void {
    this.grants.renew(grantIds);
  }

  /**
   * Runs the pool's periodic work once.
   * @param settings - Current settings of the pool.
   * @param fleetProgress - Progress of each wave over all pools.
   */
  tick(settings: PoolSettings, fleetProgress: ReadonlyMap<string, WaveProgress>): void {
    this.tables.settings = settings;
    this.claimRegistry.tick();
    this.grants.expire();
    this.vms.tick(fleetProgress);
    this.placeQueued();
  }

  /** Closes this home; waiting requests are refused at once, so that they reach the next home. */
  close(): void {
    this.isClosed = true;
    this.waiting.answerAll(CLOSED_REFUSAL);
    const { pool, term, events } = this.options;
    events.write('homeClosed', { pool, term });
  }

  private findRefusal(entry: string, request: GrantRequest): Refusal | undefined {
    if (request.idempotent) return undefined;
    const isInProgress = isRequestInProgress(request.requestId, this.tables, this.options.fleet);
    const conflict = this.claimRegistry.findConflict(entry, request, isInProgress);
    if (conflict !== undefined || this.options.holdsLease()) return conflict;
    // While the log is unavailable, this instance cannot know whether another one has become the
    // home. Idempotent requests continue, and requests that must run at most once are refused as
    // not run.
    return refuse('log-unavailable', 'The log does not answer, so the request cannot be claimed.');
  }

  private placeQueued(): void {
    const isIdle = this.tables.queue.size === 0 && this.tables.preemptions.size === 0;
    if (this.isClosed || isIdle) return;
    // Tables that are some ticks old could place work on a VM whose drain is already accepted.
    this.vms.syncIfChanged();
    const nowMs = this.options.clock.monotonicMs();
    const { rng } = this.options;
    placeQueuedJobs(this.tables, { nowMs, rng }).forEach((decision) =>
      this.applyPlacement(decision),
    );
  }

  private applyPlacement(decision: PlacementDecision): void {
    switch (decision.type) {
      case 'place':
        this.startGrant(this.tables.queue.getOrThrow(decision.attemptId), decision);
        break;
      case 'refuse':
        this.refuseQueued(decision);
        break;
      case 'preempt':
        this.controlRun(decision.grantId, decision.action, decision.reason);
        break;
      case 'unthrottle':
        this.controlRun(decision.grantId, decision.type, decision.reason);
        break;
      default:
        assertNever(decision);
    }
  }

  private startGrant(row: QueuedRow, placed: PlacedRequest): void {
    const nowMs = this.options.clock.monotonicMs();
    const { attemptId, requestId, pool, team, jobKind } = row;
    const { vm, reason } = placed;
    this.tables.queue.remove(attemptId);
    this.grants.begin(row, placed);
    this.options.metrics.timing('grant_wait_ms', nowMs - row.queuedAtMs, { pool });
    const waitedMs = Math.round(nowMs - row.queuedAtMs);
    const placement = { requestId, pool, vm, team, jobKind, reason, waitedMs };
    this.options.events.write('jobPlaced', placement);
    this.explainLog.note(requestId, `placed on ${vm}: ${reason}`);
    void this.claimAndDeliver(attemptId, vm);
  }

  /** Claims the request unless it is idempotent, and sends the grant to its entry instance. */
  private async claimAndDeliver(attemptId: string, vm: string): Promise<void> {
    const waiting = this.waiting.get(attemptId);
    if (waiting === undefined) {
      this.grants.remove(attemptId);
      return;
    }
    const { entry, request, enteredAtMs } = waiting;
    const refusal = request.idempotent ? undefined : await this.claimRegistry.claim(entry, request);
    if (refusal !== undefined) {
      this.grants.remove(attemptId);
      this.waiting.reportRefusal(request, refusal);
      this.waiting.answer(attemptId, refusal);
      return;
    }
    if (!request.idempotent && !this.waiting.has(attemptId)) {
      this.claimRegistry.markUnsent(request.requestId);
      return;
    }
    const { host, port } = this.options.directory.getOrThrow(vm);
    const heldMs = this.options.clock.monotonicMs() - enteredAtMs;
    const { term } = this.options;
    const grant = { type: 'granted', grantId: attemptId, term, vm, host, port, heldMs } as const;
    this.waiting.answer(attemptId, grant);
  }

  private refuseQueued(decision: Extract<PlacementDecision, { readonly type: 'refuse' }>): void {
    this.tables.queue.remove(decision.attemptId);
    const retryAtMs = this.options.clock.wallMs() + decision.retryAfterMs;
    const refusal = { ...refuse(decision.kind, decision.reason), retryAtMs };
    this.waiting.refuse(decision.attemptId, refusal);
  }

  private controlRun(
    grantId: string,
    action: 'checkpoint' | 'throttle' | 'unthrottle',
    reason: string,
  ): void {
    const grant = this.grants.get(grantId);
    const vm = grant && this.options.directory.get(grant.vm);
    if (grant === undefined || vm === undefined) return;
    const { requestId } = grant;
    this.options.events.write('jobPreempted', { requestId, vm: grant.vm, action, reason });
    this.explainLog.note(requestId, `${action} on ${grant.vm}: ${reason}`);
    void this.options.targets.control(vm, grantId, action);
  }
}
