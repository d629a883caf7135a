import type { StoreStandIn } from '../../../standins/store/index.js';
import type { MemoryEventLog } from '../../../src/logging/index.js';
import { MemoryMetrics } from '../../../src/metrics/index.js';
import { QueuePools } from '../../../src/queues/index.js';
import { ALL_MECHANISMS } from '../../../src/systems/index.js';
import type { LeasedTargetPort } from '../../../src/targets/index.js';
import { PartitionOpening } from '../../../src/taskHome/PartitionOpening.js';
import { type TargetEntry, TaskHome } from '../../../src/taskHome/index.js';
import { getLeaseExtensionMs } from '../../../src/taskHome/leaseBounds.js';
import type { TaskHomeTiming } from '../../../src/taskHome/TaskHomeTiming.js';
import { HomeGate } from './HomeGate.js';
import type { VirtualTime } from './VirtualTime.js';

/** Options of {@link HistoryHomes}. */
export interface HistoryHomesOptions {
  readonly time: VirtualTime;
  readonly store: StoreStandIn;
  readonly targets: LeasedTargetPort;
  readonly entries: ReadonlyMap<string, TargetEntry>;
  readonly events: MemoryEventLog;
  /** Timing of the homes, unless it is the usual one of short leases. */
  readonly timing?: TaskHomeTiming;
}

/** A process that is, was or wants to be the home. */
interface HomeProcess {
  readonly gate: HomeGate;
  /** How long it takes to read the jobs, besides the calls of the store, in milliseconds. */
  readonly readMs: number;
  home: TaskHome | undefined;
  /** When the group last confirms the process, in virtual time; it does so until then. */
  confirmedAtMs: number;
}

/** How the store gives a partition on while its home and one target are cut off. */
export interface Deal {
  /** Target that the earlier home alone reaches. */
  readonly targetId: string;
  /** Targets that the next home alone reaches. */
  readonly otherTargetIds: readonly string[];
  /** How long before the deal the group has confirmed the earlier home, in milliseconds. */
  readonly confirmedBeforeMs: number;
  /** How long the earlier home and the target stay cut off, in milliseconds. */
  readonly forMs: number;
}

const PLACE = { topic: 'jobs', termsTopic: 'terms', partition: 0 } as const;
const TICK_MS = 50;
/** Time to live of a membership without renewals, as a share of a lease. */
const TIME_TO_LIVE_SHARE = 0.3;
/** Pause before a process that is not the home tries again, in milliseconds. */
const REOPEN_PAUSE_MS = 100;
const TIMING = {
  /** Long enough for three renewals with their pauses, short enough to lapse within a history. */
  targetLeaseMs: 1_200,
  targetWaitMs: 30,
  /** Longer than a history, so that each job can be asked for at its end. */
  keepFinishedMs: 600_000,
} as const;

/** As on the users' platform, since bounds and the ages of reports are counted against it. */
export const PLATFORM_TIMING: TaskHomeTiming = {
  targetLeaseMs: 5_000,
  targetWaitMs: 1_000,
  keepFinishedMs: 600_000,
};

/** The homes of one partition, one after the other; an earlier one may still act. */
export class HistoryHomes {
  private readonly options: HistoryHomesOptions;

  private readonly processes: HomeProcess[] = [];

  /**
   * Starts without a home.
   * @param options - Time, store and targets.
   */
  constructor(options: HistoryHomesOptions) {
    this.options = options;
  }

  /** The home that has the partition and its jobs; undefined while there is none. */
  get current(): TaskHome | undefined {
    const { gate, home } = this.processes.at(-1)!;
    return gate.isOpen && home?.isLoaded === true && !home.closed.aborted ? home : undefined;
  }

  /** Whether the latest process was killed, so that nobody becomes the home. */
  get isDead(): boolean {
    return this.processes.at(-1)!.gate.isDead;
  }

  /** Every home that has its jobs and was not told that it is replaced. */
  listActing(): readonly TaskHome[] {
    return this.processes
      .filter(({ gate, home }) => gate.isOpen && home?.isLoaded === true && !home.closed.aborted)
      .map(({ home }) => home!);
  }

  /**
   * Starts the next process, which becomes the home once the store lets it.
   * @param readMs - How long it takes to read the jobs, in milliseconds.
   */
  openNext(readMs = 0): void {
    this.replace(readMs, this.timing.targetLeaseMs * TIME_TO_LIVE_SHARE);
  }

  /**
   * Gives the partition to the next process at once, while the latest one is cut off.
   * @param deal - What is cut off.
   */
  deal({ targetId, otherTargetIds, confirmedBeforeMs, forMs }: Deal): void {
    const untilMs = this.options.time.monotonicMs() + forMs;
    const { gate: earlier } = this.processes.at(-1)!;
    earlier.cutOffStore(untilMs);
    otherTargetIds.forEach((otherId) => earlier.cutOff(otherId, untilMs));
    this.replace(0, confirmedBeforeMs);
    this.processes.at(-1)!.gate.cutOff(targetId, untilMs);
  }

  private get timing(): TaskHomeTiming {
    return this.options.timing ?? TIMING;
  }

  /** Starts the next process; the group has confirmed the latest one some time before. */
  private replace(readMs: number, confirmedBeforeMs: number): void {
    const { time } = this.options;
    const gate = new HomeGate(time);
    const created = { gate, readMs, home: undefined, confirmedAtMs: Infinity };
    const replaced = this.processes.at(-1);
    if (replaced !== undefined) replaced.confirmedAtMs = time.monotonicMs() - confirmedBeforeMs;
    this.processes.push(created);
    void this.run(created);
    this.tick(created);
  }

  /** Kills the latest process; its calls that are under way go on. */
  kill(): void {
    HistoryHomes.killProcess(this.processes.at(-1)!);
  }

  /**
   * Kills the process that is the latest now.
   * @param afterMs - When, in milliseconds from now.
   */
  killLater(afterMs: number): void {
    const process = this.processes.at(-1)!;
    this.options.time.call(afterMs, () => HistoryHomes.killProcess(process));
  }

  /** Stops the latest process until it thaws. */
  freeze(): void {
    this.processes.at(-1)!.gate.freeze();
  }

  /** Lets every frozen process go on. */
  thaw(): void {
    this.processes.forEach(({ gate }) => gate.thaw());
  }

  /** Kills every process. */
  close(): void {
    this.processes.forEach((process) => HistoryHomes.killProcess(process));
  }

  /**
   * Cuts the latest process off from a target that others still reach.
   * @param targetId - Id of the target.
   * @param untilMs - Monotonic time at which it reaches the target again.
   */
  cutOff(targetId: string, untilMs: number): void {
    this.processes.at(-1)!.gate.cutOff(targetId, untilMs);
  }

  /** Lets every process reach every target that answers. */
  reconnect(): void {
    this.processes.forEach(({ gate }) => gate.reconnect());
  }

  private static killProcess({ gate, home }: HomeProcess): void {
    gate.kill();
    home?.close();
  }

  private isLatest(process: HomeProcess): boolean {
    return this.processes.at(-1) === process;
  }

  private tick(process: HomeProcess): void {
    if (!process.gate.isOpen && !process.gate.isFrozen) return;
    if (process.gate.isOpen) process.home?.tick();
    this.options.time.call(TICK_MS, () => this.tick(process));
  }

  /** Makes a process the home, again and again for as long as the partition is its own. */
  private async run(process: HomeProcess): Promise<void> {
    while (this.isLatest(process)) {
      // eslint-disable-next-line no-await-in-loop -- one attempt follows the other
      await this.open(process).catch(() => undefined);
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two attempts
      await this.options.time.sleep(REOPEN_PAUSE_MS);
    }
  }

  /** Opens a home; resolves once it is closed. */
  private async open(process: HomeProcess): Promise<void> {
    const { time, events } = this.options;
    const store = process.gate.guardStore(this.options.store);
    const opening = new PartitionOpening({
      ...PLACE,
      store,
      pages: store,
      instance: `instance-${this.processes.indexOf(process)}`,
      mayClaim: () => this.isLatest(process),
      events,
    });
    const claimed = await opening.claim();
    if (claimed === undefined) return;
    const { timing } = this;
    const getConfirmationAgeMs = (): number =>
      Math.max(0, time.monotonicMs() - process.confirmedAtMs);
    const extensionMs = getLeaseExtensionMs(timing.targetLeaseMs);
    const home = new TaskHome({
      ...this.options,
      ...PLACE,
      store,
      targets: process.gate.guardTargets(this.options.targets),
      producer: 'home',
      claimed,
      timing,
      clock: time,
      mechanisms: ALL_MECHANISMS,
      metrics: new MemoryMetrics(),
      getEntries: () => this.options.entries,
      queuePools: new QueuePools({ store, topic: 'queues', clock: time, events }),
      listOrganisations: () => [],
      isGroupLeaseHeld: () => this.isLatest(process),
      mayExtendLeases: () => getConfirmationAgeMs() < extensionMs,
      getConfirmationAgeMs,
      onReplaced: () => undefined,
    });
    Object.assign(process, { home });
    home.tick();
    if (process.readMs > 0) await time.sleep(process.readMs);
    await HistoryHomes.load(home, opening, time);
    await new Promise((resolve) => {
      home.closed.addEventListener('abort', resolve);
    });
  }

  private static async load(
    home: TaskHome,
    opening: PartitionOpening,
    time: VirtualTime,
  ): Promise<void> {
    while (!home.isLoaded && !home.closed.aborted) {
      // eslint-disable-next-line no-await-in-loop -- one attempt follows the other
      const opened = await opening.read(home.claimed).catch(() => undefined);
      if (opened !== undefined && !home.closed.aborted) home.load(opened);
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two attempts
      else await time.sleep(REOPEN_PAUSE_MS);
    }
    home.tick();
  }
}
