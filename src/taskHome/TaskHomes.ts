import { setTimeout as sleep } from 'node:timers/promises';
import {
  decodePoolPeakRecord,
  decodeVmOrderRecord,
  decodeWaveRecord,
  type FleetHome,
  type VmOrderRecord,
  type WaveRecord,
} from '../fleetHome/index.js';
import { type EventLog, OutageLog } from '../logging/index.js';
import { HeldLease } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import type { GroupPort, KeyedLogPort, KeyedRecord } from '../store/index.js';
import type { Mechanisms, PoolPeak } from '../systems/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import { AdaptiveTimeout, type Clock, KeyedOnce } from '../utils/index.js';
import { HOME_PRODUCER, type OpenedPartition, PartitionOpening } from './PartitionOpening.js';
import type { PoolPartitions } from './PoolPartitions.js';
import type { TargetDirectory } from './TargetDirectory.js';
import { TaskHome } from './TaskHome.js';
import type { TaskHomeTiming } from './TaskHomeTiming.js';

/** How the members of the group of homes tell each other from dead ones. */
export interface GroupTiming {
  /** Silence after which a member loses its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** How often a membership is renewed, in milliseconds. */
  readonly renewEveryMs: number;
  /** Shortest and longest wait for the answer to a renewal, in milliseconds. */
  readonly shortestWaitMs: number;
  readonly longestWaitMs: number;
}

/** Options of {@link TaskHomes}. */
export interface TaskHomesOptions {
  readonly store: KeyedLogPort;
  readonly groups: GroupPort;
  readonly targets: LeasedTargetPort;
  readonly directory: TargetDirectory;
  readonly partitions: PoolPartitions;
  readonly group: string;
  readonly topic: string;
  /** Name of this member, from which others read its address. */
  readonly member: string;
  readonly groupTiming: GroupTiming;
  readonly homeTiming: TaskHomeTiming;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly mechanisms: Mechanisms;
  /** Whether this instance is to hold partitions, given whether it does now. */
  readonly shouldHold: (isMember: boolean) => boolean;
  /** Creates the home of the fleet, on the instance that is the home of its partition. */
  readonly createFleetHome: (basis: FleetHomeBasis) => FleetHome;
}

/** What the home of the fleet gets from the home of its partition. */
export interface FleetHomeBasis {
  readonly term: number;
  readonly waveRecords: readonly WaveRecord[];
  readonly orderRecords: readonly VmOrderRecord[];
  readonly peakRecords: readonly PoolPeak[];
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
  readonly onReplaced: () => void;
}

/** How often homes look at their targets and due tasks, in milliseconds. */
const TICK_MS = 250;
/**
 * How often the list of targets is read where there is a home, in milliseconds: a VM that joins in
 * the front of a rush gets its first task about 0.2 s sooner than at 400 ms and the next tick.
 */
const DIRECTORY_EVERY_MS = 200;
/** Pause between renewals while partitions change hands, in milliseconds: a few answers. */
const CHANGING_PAUSE_MS = 60;
/** Pause before a partition is opened again, in milliseconds: a few answers of the store. */
const REOPEN_PAUSE_MS = 50;
/** Taken off the time to live where this member judges itself, against clocks that run apart. */
const LEASE_MARGIN_MS = 200;

/** The homes that this instance holds, as the platform's group shares the partitions out. */
export class TaskHomes {
  private readonly options: TaskHomesOptions;

  private readonly homes = new Map<number, TaskHome>();

  private readonly opening = new KeyedOnce();

  private readonly lease: HeldLease;

  private readonly renewTimeout: AdaptiveTimeout;

  private shared: ReadonlySet<number> = new Set();

  private generation = 0;

  private readonly outage: OutageLog;

  private isStopped = false;

  private isMember = false;

  private fleet: FleetHome | undefined;

  private readonly timers: NodeJS.Timeout[] = [];

  /**
   * Creates the homes of an instance that is no member yet.
   * @param options - Store, group, targets and timing.
   */
  constructor(options: TaskHomesOptions) {
    this.options = options;
    const { clock, events, groupTiming } = options;
    const { shortestWaitMs: shortestMs, longestWaitMs: longestMs } = groupTiming;
    this.renewTimeout = new AdaptiveTimeout({ shortestMs, longestMs });
    this.outage = new OutageLog({ events, lost: 'groupUnreachable', regained: 'groupReachable' });
    this.lease = new HeldLease({
      clock,
      timing: {
        leaseMs: groupTiming.ttlMs,
        renewEveryMs: groupTiming.renewEveryMs,
        marginMs: LEASE_MARGIN_MS,
        contenderStepMs: 0,
      },
    });
  }

  /** Joins the group and begins to hold homes. */
  start(): void {
    void this.renewAll();
    this.timers.push(
      setInterval(() => this.homes.forEach((home) => home.tick()), TICK_MS),
      setInterval(() => {
        if (this.homes.size > 0) void this.refreshTargets();
      }, DIRECTORY_EVERY_MS),
    );
  }

  /** Gives every home up and leaves the group, so that others take over at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.timers.forEach((timer) => clearInterval(timer));
    await this.leave('stopping');
  }

  /**
   * Gets the home of a pool.
   * @param pool - Name of the pool.
   * @returns The home, or undefined where it is elsewhere or not open yet.
   */
  get(pool: string): TaskHome | undefined {
    return this.homes.get(this.options.partitions.getPartition(pool));
  }

  /** Meets new targets as soon as they are listed, not only at the next tick. */
  private async refreshTargets(): Promise<void> {
    await this.options.directory.refresh();
    this.homes.forEach((home) => home.meetTargets());
  }

  private async renewAll(): Promise<void> {
    while (!this.isStopped) {
      const { generation } = this;
      // eslint-disable-next-line no-await-in-loop -- one renewal follows the other
      await this.takePart();
      // A partition changes hands only once its holder has joined with the new generation, and its
      // next holder learns of it by joining again; until then it has no home.
      const isChanging = generation !== this.generation;
      const pauseMs = isChanging ? CHANGING_PAUSE_MS : this.options.groupTiming.renewEveryMs;
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two renewals
      await sleep(pauseMs);
    }
  }

  /** Stays in the group, or out of it where others are to hold the partitions. */
  private async takePart(): Promise<void> {
    if (this.options.shouldHold(this.isMember)) {
      this.isMember = true;
      await this.renew();
    } else if (this.isMember) {
      this.isMember = false;
      await this.leave('left-to-larger');
    }
  }

  private async leave(reason: string): Promise<void> {
    this.shared = new Set();
    [...this.homes.keys()].forEach((partition) => this.close(partition, reason));
    const { groups, group, member, events } = this.options;
    await groups.leave(group, member).catch((thrown: unknown) => {
      events.write('groupUnreachable', { group, member, reason: String(thrown) });
    });
  }

  private async renew(): Promise<void> {
    const { groups, group, member, topic, groupTiming, clock } = this.options;
    const sentAt = this.lease.readClocks();
    const { generation } = this;
    const { ttlMs } = groupTiming;
    try {
      const share = await this.renewTimeout.run(clock, (timeoutMs) =>
        groups.join({ group, member, topic, ttlMs, timeoutMs, generation }),
      );
      if (this.isStopped) return;
      this.lease.extend(sentAt);
      this.outage.noteSuccess({ group, member, generation });
      this.generation = share.generation;
      this.shared = new Set(share.partitions);
      this.follow();
    } catch (thrown) {
      this.outage.noteFailure({ group, member, reason: String(thrown) });
    }
  }

  /** Closes the homes that went to others before the next renewal confirms that, and opens new. */
  private follow(): void {
    [...this.homes.keys()]
      .filter((partition) => !this.shared.has(partition))
      .forEach((partition) => this.close(partition, 'reassigned'));
    this.options.partitions
      .listUsed()
      .filter((partition) => this.shared.has(partition) && !this.homes.has(partition))
      .forEach((partition) => this.opening.start(`${partition}`, () => this.open(partition)));
  }

  private isWanted(partition: number): boolean {
    return !this.isStopped && this.shared.has(partition);
  }

  private async open(partition: number): Promise<void> {
    const { store, topic, member, events, directory } = this.options;
    const opening = new PartitionOpening({ store, topic, partition, instance: member, events });
    while (this.isWanted(partition) && !this.homes.has(partition)) {
      try {
        // eslint-disable-next-line no-await-in-loop -- an attempt follows the one before it
        const [opened] = await Promise.all([opening.attempt(), directory.refresh()]);
        if (opened !== undefined && this.isWanted(partition)) this.add(partition, opened);
      } catch (thrown) {
        const { recordCount } = opening;
        events.write('taskHomeOpenFailed', { partition, recordCount, reason: String(thrown) });
      }
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two attempts
      await sleep(REOPEN_PAUSE_MS);
    }
  }

  private add(
    partition: number,
    { term, sequence: lastSequence, jobs, records }: OpenedPartition,
  ): void {
    const { partitions, directory, homeTiming, events } = this.options;
    const home = new TaskHome({
      ...this.options,
      partition,
      producer: HOME_PRODUCER,
      term,
      lastSequence,
      jobs,
      timing: homeTiming,
      getEntries: () => partitions.filterEntries(partition, directory.list()),
      isCertain: () => this.lease.isHeld(),
      onReplaced: () => this.close(partition, 'replaced'),
    });
    this.homes.set(partition, home);
    if (partitions.isOfFleet(partition)) this.openFleet(partition, home, records);
    events.write('taskHomeOpened', { partition, term, jobCount: jobs.length });
    home.tick();
  }

  private openFleet(partition: number, home: TaskHome, records: readonly KeyedRecord[]): void {
    this.fleet = this.options.createFleetHome({
      term: home.term,
      waveRecords: this.decodeAll(partition, records, decodeWaveRecord),
      orderRecords: this.decodeAll(partition, records, decodeVmOrderRecord),
      peakRecords: this.decodeAll(partition, records, decodePoolPeakRecord),
      store: (changes) => home.store(changes),
      onReplaced: () => this.close(partition, 'replaced'),
    });
    this.fleet.start();
  }

  /** Passes over records that cannot be read: one must not keep the fleet without a home. */
  private decodeAll<Value>(
    partition: number,
    records: readonly KeyedRecord[],
    decode: (record: KeyedRecord) => Value | undefined,
  ): readonly Value[] {
    return records.flatMap((record) => {
      try {
        const value = decode(record);
        return value === undefined ? [] : [value];
      } catch (thrown) {
        const { key } = record;
        this.options.events.write('recordUnreadable', { key, partition, reason: String(thrown) });
        return [];
      }
    });
  }

  private close(partition: number, reason: string): void {
    const home = this.homes.get(partition);
    if (home === undefined) return;
    if (this.options.partitions.isOfFleet(partition)) this.fleet?.close();
    this.homes.delete(partition);
    home.close();
    this.options.events.write('taskHomeClosed', { partition, term: home.term, reason });
  }
}
