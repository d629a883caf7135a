import { setTimeout as sleep } from 'node:timers/promises';
import {
  decodePeakForecastRecord,
  decodePoolPeakRecord,
  decodeVmOrderRecord,
  decodeWaveRecord,
  type FleetHome,
} from '../fleetHome/index.js';
import type { KeyedRecord } from '../store/index.js';
import { ConcurrencyLimit, KeyedOnce, whenAborted } from '../utils/index.js';
import { decodeReadable } from './decodeReadable.js';
import { GroupMembership } from './GroupMembership.js';
import { getLeaseExtensionMs, getLongestMembershipMs } from './leaseBounds.js';
import { OpeningWatch } from './OpeningWatch.js';
import { PacedPages } from './PacedPages.js';
import { type OpenedPartition, PartitionOpening } from './PartitionOpening.js';
import { type ClaimedTerm, HOME_PRODUCER } from './PartitionTerms.js';
import {
  countPagesAtOnce,
  getLongestPageDelayMs,
  getLongestRenewalsWaitMs,
} from './pageTransfer.js';
import { TaskHome } from './TaskHome.js';
import type { TaskHomesOptions } from './TaskHomesOptions.js';
import { UnopenedPartitions, type UnopenedPhase } from './UnopenedPartitions.js';

/** Interval at which homes check their targets and due tasks, in milliseconds. */
const TICK_MS = 250;
/**
 * Interval at which an instance with homes reads the list of targets, in milliseconds. A VM that
 * joins at the start of a load peak gets its first task about 0.2 s sooner than with 400 ms and
 * the next tick.
 */
const DIRECTORY_REFRESH_MS = 200;
/** Pause before a partition is opened again, in milliseconds: a few round trips to the store. */
const REOPEN_PAUSE_MS = 50;

/** The homes of the partitions that the platform's group assigns to this instance. */
export class TaskHomes {
  private readonly options: TaskHomesOptions;

  private readonly homes = new Map<number, TaskHome>();

  private readonly openings = new KeyedOnce();

  /** Openings that are not complete; they outlast a home that is replaced meanwhile. */
  private readonly readings = new Map<number, PartitionOpening>();

  private readonly pages: PacedPages;

  /** Longest wait for renewals before a page, in milliseconds. */
  private readonly renewalsWaitMs: number;

  private readonly membership: GroupMembership;

  private readonly unopened: UnopenedPartitions;

  private readonly openingWatch: OpeningWatch;

  /**
   * Partitions whose home was replaced since the latest renewal of the membership. The group may
   * have assigned them to others. Otherwise two instances that both believe in their share would
   * replace each other in turns.
   */
  private readonly replaced = new Set<number>();

  private isStopped = false;

  private fleet: FleetHome | undefined;

  private readonly timers: NodeJS.Timeout[] = [];

  /**
   * Creates an instance's set of homes, which is empty until the instance joins the group.
   * @param options - Store, group, targets and timing.
   */
  constructor(options: TaskHomesOptions) {
    this.options = options;
    this.renewalsWaitMs = getLongestRenewalsWaitMs(options.linkMbps);
    this.openingWatch = new OpeningWatch(options);
    this.pages = new PacedPages({
      store: options.store,
      onPage: () => this.openingWatch.noteProgress(),
      limit: new ConcurrencyLimit(countPagesAtOnce(options.linkMbps)),
      whenRenewed: () => this.whenRenewed(),
    });
    this.membership = new GroupMembership({
      ...options,
      leaseExtensionMs: getLeaseExtensionMs(options.homeTiming.targetLeaseMs),
      longestTtlMs: getLongestMembershipMs(options.homeTiming.targetLeaseMs),
      getAnswerDelayMs: () => this.getAnswerDelayMs(),
      shouldHold: (isMember) => this.mayHold() && options.shouldHold(isMember),
      onRenewed: () => this.updateHomes(),
      onLeaving: (reason) => this.closeAllHomes(reason),
    });
    const { clock, events } = options;
    const isLeaseHeld = (): boolean => this.membership.isLeaseHeld();
    this.unopened = new UnopenedPartitions({ clock, events, isLeaseHeld });
  }

  /** Joins the group and opens homes for the assigned partitions. */
  start(): void {
    this.membership.start();
    this.timers.push(
      setInterval(() => this.homes.forEach((home) => home.tick()), TICK_MS),
      setInterval(() => this.logUnopened(), TICK_MS),
      setInterval(() => {
        if (this.homes.size > 0) void this.refreshTargets();
      }, DIRECTORY_REFRESH_MS),
    );
  }

  /** Closes all homes and leaves the group, so that other members take over at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.timers.forEach((timer) => clearInterval(timer));
    await this.membership.stop();
  }

  /** Whether the lease on the group membership holds, with or without homes on this instance. */
  get isMember(): boolean {
    return this.membership.isLeaseHeld();
  }

  /**
   * Gets the home of a pool.
   * @param pool - Name of the pool.
   * @returns The home, which may still be reading its jobs; undefined if it is on another instance
   * or not open yet.
   */
  get(pool: string): TaskHome | undefined {
    return this.homes.get(this.options.partitions.getPartition(pool));
  }

  /** Waits until the leases of all homes and the membership have just been renewed. */
  private async whenRenewed(): Promise<void> {
    const maxMs = this.renewalsWaitMs;
    const homes = [...this.homes.values()];
    await Promise.all([
      this.membership.whenFresh(maxMs),
      ...homes.map(({ leases }) => leases.whenLeasesFresh(maxMs)),
    ]);
  }

  /** Opens sessions with new targets as soon as they are listed instead of at the next tick. */
  private async refreshTargets(): Promise<void> {
    await this.options.directory.refresh();
    this.homes.forEach((home) => home.syncTargets());
  }

  private closeAllHomes(reason: string): void {
    [...this.readings.keys()].forEach((partition) => this.cancelReading(partition));
    [...this.homes.keys()].forEach((partition) => this.closeHome(partition, reason));
  }

  /**
   * Closes the homes of reassigned partitions, before the next renewal confirms the change to the
   * group, and opens homes for new ones.
   */
  private updateHomes(): void {
    this.replaced.clear();
    [...this.homes.keys()]
      .filter((partition) => !this.membership.holds(partition))
      .forEach((partition) => this.closeHome(partition, 'reassigned'));
    [...this.readings.keys()]
      .filter((partition) => !this.membership.holds(partition))
      .forEach((partition) => this.cancelReading(partition));
    this.options.partitions
      .listUsedPartitions()
      .filter((partition) => this.isWanted(partition) && !this.isServing(partition))
      .forEach((partition) => this.openings.start(`${partition}`, () => this.openHome(partition)));
  }

  /** Ends the reading of a partition that this instance no longer has. */
  private cancelReading(partition: number): void {
    this.readings.get(partition)?.cancel();
    this.readings.delete(partition);
  }

  private isWanted(partition: number): boolean {
    if (this.isStopped || this.replaced.has(partition)) return false;
    return this.membership.holds(partition);
  }

  private mayHold(): boolean {
    const hasOpenHome = [...this.homes.values()].some(({ isLoaded }) => isLoaded);
    return this.openingWatch.mayHold({ hasOpenHome, isOpening: !this.openings.isIdle });
  }

  private logUnopened(): void {
    const unopened = this.options.partitions
      .listUsedPartitions()
      .filter((partition) => this.membership.holds(partition) && !this.isServing(partition))
      .map((partition) => {
        const { recordCount = 0 } = this.readings.get(partition) ?? {};
        return { partition, phase: this.getPhase(partition), recordCount };
      });
    this.unopened.check(unopened);
  }

  private getPhase(partition: number): UnopenedPhase {
    if (this.replaced.has(partition)) return 'replaced';
    return this.homes.has(partition) ? 'reading' : 'claiming';
  }

  /** Gets how long an answer may wait behind the pages that this instance reads. */
  private getAnswerDelayMs(): number {
    return this.openings.isIdle ? 0 : getLongestPageDelayMs(this.options.linkMbps);
  }

  private isServing(partition: number): boolean {
    return this.homes.get(partition)?.isLoaded === true;
  }

  private async openHome(partition: number): Promise<void> {
    while (this.isWanted(partition) && !this.isServing(partition)) {
      // An opening ends when the partition goes elsewhere, and it may be back by the next attempt.
      const opening = this.getOpening(partition);
      try {
        // eslint-disable-next-line no-await-in-loop -- an attempt follows the one before it
        await this.attemptOpening(partition, opening);
      } catch (thrown) {
        const { recordCount } = opening;
        const reason = String(thrown);
        this.options.events.write('taskHomeOpenFailed', { partition, recordCount, reason });
        this.openingWatch.noteFailure();
      }
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two attempts
      await sleep(REOPEN_PAUSE_MS);
    }
  }

  private getOpening(partition: number): PartitionOpening {
    const opening = this.readings.get(partition) ?? this.createOpening(partition);
    this.readings.set(partition, opening);
    return opening;
  }

  private createOpening(partition: number): PartitionOpening {
    const { member: instance } = this.options;
    // After its own lease on the share, this instance would replace the home that has followed it.
    const mayClaim = (): boolean => this.isWanted(partition) && this.membership.isLeaseHeld();
    return new PartitionOpening({
      ...this.options,
      partition,
      instance,
      mayClaim,
      pages: this.pages,
    });
  }

  /** Claims the partition unless this instance has done so, then reads its jobs. */
  private async attemptOpening(partition: number, opening: PartitionOpening): Promise<void> {
    const home = this.homes.get(partition) ?? (await this.claimHome(partition, opening));
    if (home === undefined) return;
    // If this home is replaced and the partition stays here, the next claim must not wait for the
    // rest of the pages: nobody would renew the leases meanwhile.
    const opened = await Promise.race([opening.read(home.claimed), whenAborted(home.closed)]);
    if (opened === undefined) return;
    await home.leases.whenLeasesFresh(this.renewalsWaitMs);
    if (this.homes.get(partition) === home) this.loadHome(partition, home, opened);
  }

  /** Claims the partition, and has the leases of its targets renewed. */
  private async claimHome(
    partition: number,
    opening: PartitionOpening,
  ): Promise<TaskHome | undefined> {
    const { directory } = this.options;
    const [claimed] = await Promise.all([opening.claim(), directory.refresh()]);
    // Without a list of targets nothing would be renewed, and it would wait behind the first page.
    if (!directory.hasBeenRead) await directory.refresh();
    if (claimed === undefined || !this.isWanted(partition)) return undefined;
    const home = this.createHome(partition, claimed);
    this.homes.set(partition, home);
    home.tick();
    const { leases, term } = home;
    await leases.whenLeasesFresh(this.renewalsWaitMs);
    const { targetCount, freshLeaseCount: renewedCount } = leases;
    this.options.events.write('leasesTakenOver', { partition, term, targetCount, renewedCount });
    return home;
  }

  private createHome(partition: number, claimed: ClaimedTerm): TaskHome {
    const { partitions, directory, homeTiming } = this.options;
    return new TaskHome({
      ...this.options,
      partition,
      producer: HOME_PRODUCER,
      claimed,
      timing: homeTiming,
      getEntries: () => partitions.filterEntries(partition, directory.list()),
      isGroupLeaseHeld: () => this.membership.isLeaseHeld(),
      mayExtendLeases: () => this.membership.mayExtendLeases(),
      getConfirmationAgeMs: () => this.membership.getConfirmationAgeMs(),
      onReplaced: () => this.handleReplaced(partition),
    });
  }

  private handleReplaced(partition: number): void {
    this.replaced.add(partition);
    this.closeHome(partition, 'replaced');
  }

  private loadHome(partition: number, home: TaskHome, opened: OpenedPartition): void {
    const { partitions, events } = this.options;
    const { jobs, endedJobs, records } = opened;
    home.load(opened);
    this.readings.delete(partition);
    if (partitions.isFleetPartition(partition)) this.openFleetHome(partition, home, records);
    const jobCount = jobs.length + endedJobs.length;
    const { term, endOffset } = home.claimed;
    events.write('taskHomeOpened', { partition, term, jobCount, endOffset });
    home.tick();
  }

  private openFleetHome(partition: number, home: TaskHome, records: readonly KeyedRecord[]): void {
    const { createFleetHome, directory, events } = this.options;
    const source = { partition, events };
    this.fleet = createFleetHome({
      term: home.term,
      waveRecords: decodeReadable(records, decodeWaveRecord, source),
      orderRecords: decodeReadable(records, decodeVmOrderRecord, source),
      peakRecords: decodeReadable(records, decodePoolPeakRecord, source),
      forecastRecords: decodeReadable(records, decodePeakForecastRecord, source),
      store: (changes) => home.store(changes),
      getLifetimeId: (instance) => directory.getLifetimeId(instance),
      isGroupLeaseHeld: () => this.membership.isLeaseHeld(),
      // An answer to a closed home may come late, and this instance may be the home again by then.
      onReplaced: () => {
        if (!home.closed.aborted) this.handleReplaced(partition);
      },
    });
    this.fleet.start();
  }

  private closeHome(partition: number, reason: string): void {
    const home = this.homes.get(partition);
    if (home === undefined) return;
    if (this.options.partitions.isFleetPartition(partition)) this.fleet?.close();
    this.homes.delete(partition);
    home.close();
    this.options.events.write('taskHomeClosed', { partition, term: home.term, reason });
  }
}
