import type { LogWriter } from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { FleetTables, InstanceRow } from '../tables/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';
import { HeldLease } from './HeldLease.js';
import { LapseDetector } from './LapseDetector.js';
import type { LeaseTiming } from './LeaseTiming.js';

/** Options of {@link Membership}. */
export interface MembershipOptions {
  /** This instance's row; its name is unique to each start of the process. */
  readonly self: Omit<InstanceRow, 'renewalOffset' | 'state'>;
  readonly tables: FleetTables;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly timing: LeaseTiming;
  /**
   * Gets when the latest read that reached the log's end was sent; undefined while the log is
   * unavailable.
   */
  readonly getReadToEndAtMs: () => number | undefined;
}

/** Joins this instance to the fleet, renews its lease, and ends the leases of lost instances. */
export class Membership {
  private readonly options: MembershipOptions;

  private readonly lease: HeldLease;

  private readonly lapseDetector: LapseDetector;

  private readonly writes = new KeyedOnce();

  private isLeaving = false;

  private leaveCount = 0;

  private wasHeld = false;

  private renewAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates the membership of an instance that has not joined yet.
   * @param options - Identity of this instance, and dependencies.
   */
  constructor(options: MembershipOptions) {
    this.options = options;
    const { clock, timing } = options;
    this.lease = new HeldLease({ clock, timing });
    this.lapseDetector = new LapseDetector({ instance: options.self.instance, timing });
  }

  /**
   * Checks whether this instance holds its lease now.
   * @returns Whether actions that need the lease are allowed.
   */
  holdsLease(): boolean {
    return this.lease.isHeld();
  }

  /** Reports a lost lease, renews the lease if due, and ends the leases of lost instances. */
  tick(): void {
    this.reportLoss();
    if (this.isLeaving) return;
    this.renewIfDue();
    this.endLapsedLeases();
  }

  /**
   * Leaves the fleet, which immediately frees the pools whose home this instance is.
   * @param deadlineMs - Monotonic deadline for writing the record.
   */
  async leave(deadlineMs: number): Promise<void> {
    this.isLeaving = true;
    this.leaveCount += 1;
    this.lease.drop();
    const { instance } = this.options.self;
    if (!this.options.tables.instances.has(instance)) return;
    await this.options.writer.write({ type: 'instance-left', instance }, { deadlineMs });
  }

  /** Joins again at the next tick after {@link leave}. */
  rejoin(): void {
    this.isLeaving = false;
    this.renewAtMs = Number.NEGATIVE_INFINITY;
  }

  private reportLoss(): void {
    const isHeld = this.lease.isHeld();
    if (this.wasHeld && !isHeld) {
      this.options.events.write('leaseLost');
      this.options.metrics.increment('lease_lapsed');
    }
    this.wasHeld = isHeld;
  }

  private renewIfDue(): void {
    const { clock, timing } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.renewAtMs) return;
    this.renewAtMs = nowMs + timing.renewEveryMs;
    this.writes.start(this.options.self.instance, () => this.joinOrRenew());
  }

  /**
   * Joins, or renews the lease if this instance has joined.
   *
   * If this instance leaves while a renewal is in flight, the renewal would revive the lease when
   * it is read back, although another instance may be the home of its pools by then. A record that
   * was sent before a leave therefore does not extend the lease after it.
   */
  private async joinOrRenew(): Promise<void> {
    const { self, tables, writer, clock, timing, events } = this.options;
    const { leaveCount } = this;
    const sentAt = this.lease.readClocks();
    const isJoined = tables.instances.get(self.instance)?.state === 'joined';
    const body = isJoined
      ? ({ type: 'instance-renewed', instance: self.instance } as const)
      : ({ type: 'instance-joined', ...self } as const);
    const deadlineMs = clock.monotonicMs() + timing.leaseMs;
    const result = await writer.write(body, { deadlineMs });
    if (result.type !== 'accepted' || leaveCount !== this.leaveCount) return;
    this.lease.extend(sentAt);
    if (!isJoined) events.write('instanceJoined', { joinedInstance: self.instance });
  }

  private endLapsedLeases(): void {
    const { tables, clock, writer, timing, self, events, getReadToEndAtMs } = this.options;
    const readToEndAtMs = getReadToEndAtMs();
    if (readToEndAtMs === undefined) {
      this.lapseDetector.restart();
      return;
    }
    const nowMs = clock.monotonicMs();
    if (!this.lease.isHeld()) return;
    const deadlineMs = nowMs + timing.leaseMs;
    this.lapseDetector.findLapsed(tables.instances, readToEndAtMs, nowMs).forEach((lapsed) => {
      this.writes.start(lapsed.instance, async () => {
        const body = { type: 'instance-lapsed', ...lapsed, by: self.instance } as const;
        const result = await writer.write(body, { deadlineMs });
        if (result.type !== 'accepted') return;
        events.write('instanceEnded', { endedInstance: lapsed.instance, how: 'lapsed' });
      });
    });
  }
}
