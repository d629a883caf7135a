import { afterEach, beforeEach, expect, vi } from 'vitest';
import type { DurableJobSpec, QueueTerms, StepSpec } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { type Organisation, QueuePools } from '../../src/queues/index.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import { LeasedTargetsStandIn } from '../../standins/leasedTargets/index.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { PartitionOpening } from '../../src/taskHome/PartitionOpening.js';
import { ALL_MECHANISMS } from '../../src/systems/index.js';
import { type TargetEntry, TaskHome } from '../../src/taskHome/index.js';
import type { LeasedTargetPort } from '../../src/targets/index.js';
import { getLeaseExtensionMs } from '../../src/taskHome/leaseBounds.js';

const TOPIC = 'jobs';
const TERMS_TOPIC = 'terms';
const PARTITION = 0;
const TICK_MS = 10;
/** Time to live of a membership without renewals, as a share of a lease. */
const TIME_TO_LIVE_SHARE = 0.3;
/** Largest record that the store takes, in bytes. */
export const MAX_RECORD_BYTES = 262_144;

/** Creates a step of one short task, with the changes that a test needs. */
export function makeStep(changes: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 1,
    demand: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
    estimatedRunMs: 500,
    afterSteps: [],
    isCheckpointing: false,
    isGang: false,
    wantsSameRack: false,
    mayRunCopies: false,
    isLongRunning: false,
    isBestEffort: false,
    ...changes,
  };
}

/** Terms of the one queue of the pool `pages`. */
export const TERMS: QueueTerms = {
  queue: 'saves',
  pool: 'pages',
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  targetDurationMs: 600,
};

/** A `sync-pool` request for the pool `pages` without drained or lost targets. */
export const EMPTY_SYNC_REQUEST = {
  pool: 'pages',
  drainedTargets: [],
  drainedForMs: 5_000,
  endedTargets: [],
  crashedTargets: [],
  lostWithRack: [],
} as const;

/** Creates a job of the pool `pages`. */
export function makeJob(jobId: string, steps: readonly StepSpec[] = [makeStep()]): DurableJobSpec {
  return {
    jobId,
    terms: TERMS,
    payload: 'payload',
    steps,
    submittedAtMs: Date.now(),
  };
}

/** Creates a target of the pool `pages` with four cores. */
export function makeEntry(targetId: string, changes: Partial<TargetEntry> = {}): TargetEntry {
  return {
    targetId,
    pool: 'pages',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'north',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: { cpuMillicores: 4_000, memoryMb: 10_000, gpuCount: 0 },
    isDraining: false,
    ...changes,
  };
}

/** Test fixture with a store, targets, and the homes that a test opens on them. */
export class HomeWorld {
  readonly store = new StoreStandIn({ partitionCount: 4 });

  readonly targets = new LeasedTargetsStandIn();

  readonly entries = new Map<string, TargetEntry>();

  readonly events = new MemoryEventLog();

  readonly metrics = new MemoryMetrics();

  /** The pools that queues have had; they are apart from the store that tests disturb. */
  readonly queuePools = new QueuePools({
    store: new StoreStandIn({ partitionCount: 1 }),
    topic: 'queues',
    clock: new SystemClock(),
    events: this.events,
  });

  /** Length of the leases of targets, in milliseconds. */
  leaseMs = 60_000;

  /** How long homes keep ended jobs, in milliseconds. */
  keepFinishedMs = 60_000;

  /** Way to the targets of the homes that are opened next. */
  access: LeasedTargetPort = this.targets;

  /** Organisations of the configuration in force. */
  organisations: readonly Organisation[] = [];

  /** Whether homes that are opened next refuse jobs that would end too late to be of use. */
  refusesUnservableJobs = false;

  /** Whether the homes are certain that they still are the home of their partition. */
  isGroupLeaseHeld = true;

  private readonly homes: TaskHome[] = [];

  /** When the group gave the partition to the next home, by home. */
  private readonly replacedAtMs = new Map<TaskHome, number>();

  private readonly timers: NodeJS.Timeout[] = [];

  constructor(targetIds: readonly string[] = ['t1', 't2']) {
    targetIds.forEach((targetId) => this.addTarget(makeEntry(targetId)));
  }

  addTarget(entry: TargetEntry): void {
    this.targets.add(entry.targetId);
    this.entries.set(entry.targetId, entry);
  }

  /** Opens a home in the next term, as an instance does that takes over. */
  async open(clock: Clock = new SystemClock()): Promise<TaskHome> {
    const { home, opening } = await this.claim(clock);
    home.load(await opening.read(home.claimed));
    home.tick();
    return home;
  }

  /** Creates a home in the next term that has not read its jobs yet. */
  async claim(
    clock: Clock = new SystemClock(),
  ): Promise<{ readonly home: TaskHome; readonly opening: PartitionOpening }> {
    const { store, access, events } = this;
    const place = { store, topic: TOPIC, partition: PARTITION };
    const opening = new PartitionOpening({
      ...place,
      termsTopic: TERMS_TOPIC,
      pages: store,
      instance: 'test',
      mayClaim: () => true,
      events,
    });
    const claimed = await opening.claim();
    const replaced = this.homes.at(-1);
    if (replaced !== undefined) this.replacedAtMs.set(replaced, performance.now());
    const home: TaskHome = new TaskHome({
      ...place,
      targets: access,
      producer: 'home',
      claimed: claimed!,
      maxRecordBytes: MAX_RECORD_BYTES,
      timing: {
        targetLeaseMs: this.leaseMs,
        targetWaitMs: 10,
        keepFinishedMs: this.keepFinishedMs,
      },
      clock,
      events,
      mechanisms: ALL_MECHANISMS,
      refusesUnservableJobs: this.refusesUnservableJobs,
      metrics: this.metrics,
      getEntries: () => this.entries,
      queuePools: this.queuePools,
      listOrganisations: () => this.organisations,
      isGroupLeaseHeld: () => this.isGroupLeaseHeld,
      mayExtendLeases: () => this.mayExtendLeases(home),
      getConfirmationAgeMs: () => this.getConfirmationAgeMs(home),
      onReplaced: () => undefined,
    });
    this.homes.push(home);
    home.tick();
    this.timers.push(setInterval(() => home.tick(), TICK_MS));
    return { home, opening };
  }

  /** Ends a home like a kill of its process: it takes no further action. */
  kill(home: TaskHome): void {
    const index = this.homes.indexOf(home);
    clearInterval(this.timers[index]);
    home.close();
  }

  close(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.homes.forEach((home) => home.close());
  }

  /** Waits until exactly the given tasks are running. */
  async waitForRunning(taskNames: readonly string[]): Promise<void> {
    await vi.waitFor(() => {
      const running = this.targets.listRunning().toSorted();
      if (running.join() !== taskNames.toSorted().join()) throw new Error(running.join());
    });
  }

  /** Tells whether a home may extend leases: the group tells one that goes on nothing else. */
  private mayExtendLeases(home: TaskHome): boolean {
    return this.getConfirmationAgeMs(home) < getLeaseExtensionMs(this.leaseMs);
  }

  /** Gets how long a home is not confirmed: its time to live, as it is replaced. */
  private getConfirmationAgeMs(home: TaskHome): number {
    const replacedAtMs = this.replacedAtMs.get(home) ?? Infinity;
    const confirmedAtMs = replacedAtMs - this.leaseMs * TIME_TO_LIVE_SHARE;
    return Math.max(0, performance.now() - confirmedAtMs);
  }

  /** Counts the logged events of a kind. */
  countEvents(event: string): number {
    return this.events.events.filter((kept) => kept.event === event).length;
  }
}

/**
 * Creates a fixture before each test of a suite, and checks after it that no task ran twice.
 * @param take - Receives the fixture before the test.
 */
export function useHomeWorld(take: (world: HomeWorld) => void): void {
  let world: HomeWorld;

  beforeEach(() => {
    world = new HomeWorld();
    take(world);
  });

  afterEach(() => {
    world.close();
    expect(world.targets.violations).toEqual([]);
  });
}
