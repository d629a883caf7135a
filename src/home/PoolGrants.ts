import type { EventLog } from '../logging/index.js';
import type { PeerRequest } from '../peers/index.js';
import { type PlacementDecision, recordRun } from '../systems/index.js';
import type { GrantRow, PoolTables, QueuedRow } from '../tables/index.js';
import type { Clock } from '../utils/index.js';
import type { ExplainLog } from './ExplainLog.js';
import {
  createGrant,
  createInheritedGrant,
  GRANT_DURATION_MS,
  type InheritedGrant,
} from './grantRows.js';
import { reportRunVerdict } from './reportRunVerdict.js';

/** Options of {@link PoolGrants}. */
export interface PoolGrantsOptions {
  readonly tables: PoolTables;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly explainLog: ExplainLog;
  /** Returns whether a grant has not been sent to its entry instance yet. */
  readonly isWaiting: (grantId: string) => boolean;
  /** Called with the VM of a run whose result suggests that the VM may have failed. */
  readonly onSuspect: (vm: string) => void;
}

/** Placement of a queued request. */
export type PlacedRequest = Extract<PlacementDecision, { readonly type: 'place' }>;

/** Report of an entry instance that it no longer uses a grant. */
export type FinishGrant = Extract<PeerRequest, { readonly type: 'finish-grant' }>;

/** Manages the grants of a pool, and records the results of their runs. */
export class PoolGrants {
  private readonly options: PoolGrantsOptions;

  /** VMs on which the granted request failed before, by grant. */
  private readonly excludedVms = new Map<string, readonly string[]>();

  /**
   * Creates a manager of the grants in the pool's tables.
   * @param options - Tables of the pool, and callbacks.
   */
  constructor(options: PoolGrantsOptions) {
    this.options = options;
  }

  /**
   * Adopts grants that entry instances still hold from an earlier home.
   * @param heldGrants - The grants.
   */
  adopt(heldGrants: readonly InheritedGrant[]): void {
    const { tables, clock } = this.options;
    heldGrants.forEach((held) =>
      tables.grants.put(createInheritedGrant(held, tables.pool, clock.monotonicMs())),
    );
  }

  /**
   * Creates the grant of a request that was placed.
   * @param row - The request.
   * @param placed - VM and the resources that are reserved on it.
   */
  begin(row: QueuedRow, placed: PlacedRequest): void {
    const { tables, clock } = this.options;
    tables.grants.put(createGrant(row, placed, clock.monotonicMs()));
    this.excludedVms.set(row.attemptId, row.excludedVms);
  }

  /**
   * Gets a grant.
   * @param grantId - Its id.
   * @returns The grant, or undefined if it has ended or is unknown.
   */
  get(grantId: string): GrantRow | undefined {
    return this.options.tables.grants.get(grantId);
  }

  /**
   * Extends the deadlines of grants that are still in use.
   * @param grantIds - The grants.
   */
  renew(grantIds: readonly string[]): void {
    const { tables, clock } = this.options;
    const deadlineMs = clock.monotonicMs() + GRANT_DURATION_MS;
    grantIds
      .flatMap((grantId) => tables.grants.get(grantId) ?? [])
      .forEach((grant) => tables.grants.put({ ...grant, deadlineMs }));
  }

  /** Removes grants that their entry instances have not renewed in time. */
  expire(): void {
    const { tables, clock, events, isWaiting } = this.options;
    const nowMs = clock.monotonicMs();
    tables.grants
      .list()
      .filter((grant) => grant.deadlineMs <= nowMs)
      .filter((grant) => !isWaiting(grant.grantId))
      .forEach((grant) => {
        this.remove(grant.grantId);
        const { requestId, vm, entry } = grant;
        events.write('grantExpired', { requestId, vm, entry });
      });
  }

  /**
   * Records the result of a run for its VM and its job, and removes the grant.
   * @param grant - The grant.
   * @param finish - Report of the run.
   */
  finish(grant: GrantRow, finish: FinishGrant): void {
    this.recordResult(grant, finish);
    this.remove(grant.grantId);
  }

  /**
   * Removes a grant.
   * @param grantId - Its id.
   */
  remove(grantId: string): void {
    this.options.tables.grants.remove(grantId);
    this.excludedVms.delete(grantId);
  }

  private recordResult(grant: GrantRow, finish: FinishGrant): void {
    const { tables, clock, events, explainLog, onSuspect } = this.options;
    const verdicts = recordRun(tables, {
      nowMs: clock.monotonicMs(),
      vm: grant.vm,
      jobKind: grant.jobKind,
      requestId: grant.requestId,
      result: finish.result,
      ranMs: finish.ranMs,
      usedMemoryMb: finish.usedMemoryMb,
      excludedVms: this.excludedVms.get(grant.grantId) ?? [],
    });
    verdicts.forEach((verdict) => reportRunVerdict(verdict, { events, explainLog }));
    const isSuspect = finish.result === 'unknown' || finish.result === 'not-started';
    if (isSuspect) onSuspect(grant.vm);
  }
}
