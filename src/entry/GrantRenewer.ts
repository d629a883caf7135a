import type { HeldGrant, PeerRequest } from '../peers/index.js';
import type { TargetAddress, TargetPort } from '../targets/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';
import type { HomeRouter } from './HomeRouter.js';

/** A grant in use at this instance. */
export interface UsedGrant extends HeldGrant {
  readonly pool: string;
  readonly target: TargetAddress;
  /** Called when the target no longer knows the task or does not answer renewals. */
  readonly onLost: () => void;
}

/** Options of {@link GrantRenewer}. */
export interface GrantRenewerOptions {
  readonly router: Pick<HomeRouter, 'call'>;
  readonly targets: Pick<TargetPort, 'renewLease'>;
  readonly clock: Clock;
}

/** How long a target's lease for a task lasts after each renewal. */
export const TASK_LEASE_MS = 15_000;
const RENEWAL_INTERVAL_MS = 2_000;
const RENEWAL_TIMEOUT_MS = 1_500;
/** Consecutive failed renewals after which a task counts as lost. */
const MAX_FAILED_RENEWAL_COUNT = 3;

/** Renews the grants and task leases that this instance uses. */
export class GrantRenewer {
  private readonly options: GrantRenewerOptions;

  private readonly grants = new Map<string, UsedGrant>();

  private readonly failedRenewalCounts = new Map<string, number>();

  private readonly renewals = new KeyedOnce();

  private nextRenewalAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a renewer without grants.
   * @param options - Router to the homes, port to the targets, and clock.
   */
  constructor(options: GrantRenewerOptions) {
    this.options = options;
  }

  /** Number of grants in use. */
  get size(): number {
    return this.grants.size;
  }

  /**
   * Starts to renew a grant.
   * @param grant - The grant.
   */
  add(grant: UsedGrant): void {
    this.grants.set(grant.grantId, grant);
  }

  /**
   * Stops renewing a grant.
   * @param grantId - Id of the grant.
   */
  remove(grantId: string): void {
    this.grants.delete(grantId);
    this.failedRenewalCounts.delete(grantId);
  }

  /**
   * Lists the grants of a pool for a new home that takes over.
   * @param pool - Pool as `team/pool`.
   * @returns The grants in use.
   */
  list(pool: string): readonly HeldGrant[] {
    return this.listAll()
      .filter((grant) => grant.pool === pool)
      .map(({ grantId, requestId, team, jobKind, urgency, vm, coreCount, memoryMb }) => ({
        grantId,
        requestId,
        team,
        jobKind,
        urgency,
        vm,
        coreCount,
        memoryMb,
      }));
  }

  /** Renews all grants and task leases if a renewal is due. */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.nextRenewalAtMs) return;
    this.nextRenewalAtMs = nowMs + RENEWAL_INTERVAL_MS;
    const grants = this.listAll();
    Array.from(new Set(grants.map((grant) => grant.pool))).forEach((pool) => {
      this.renewals.start(`pool ${pool}`, () => this.renewAtHome(pool));
    });
    grants.forEach((grant) => {
      this.renewals.start(grant.grantId, () => this.renewAtTarget(grant));
    });
  }

  private listAll(): readonly UsedGrant[] {
    return Array.from(this.grants.values());
  }

  private async renewAtHome(pool: string): Promise<void> {
    const grantIds = this.list(pool).map((grant) => grant.grantId);
    const request: PeerRequest = { type: 'renew-grants', pool, grantIds };
    await this.options.router.call(pool, request, RENEWAL_TIMEOUT_MS).catch(() => undefined);
  }

  /**
   * Renews the lease of a task at its target, and reports the task as lost after too many failures.
   *
   * If the connection of a task goes silent for good, or its target is lost, the caller would wait
   * until its deadline. Renewals use other connections, so they detect a target that no longer
   * knows the task or does not answer.
   */
  private async renewAtTarget(grant: UsedGrant): Promise<void> {
    const { clock, targets } = this.options;
    const leaseDeadlineMs = clock.wallMs() + TASK_LEASE_MS;
    const isRenewed = await targets.renewLease(grant.target, grant.grantId, leaseDeadlineMs);
    if (!this.grants.has(grant.grantId)) return;
    const failedCount = isRenewed ? 0 : (this.failedRenewalCounts.get(grant.grantId) ?? 0) + 1;
    this.failedRenewalCounts.set(grant.grantId, failedCount);
    if (failedCount >= MAX_FAILED_RENEWAL_COUNT) grant.onLost();
  }
}
