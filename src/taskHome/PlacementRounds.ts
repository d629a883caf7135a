import { setTimeout as sleep } from 'node:timers/promises';
import type { Metrics } from '../metrics/index.js';
import type { DurableJobRow } from '../jobs/index.js';
import {
  listReadyTasks,
  listSuspects,
  type Mechanisms,
  orderJobs,
  type PlacementTarget,
  placeTasks,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { RecordWriter } from './RecordWriter.js';
import type { TargetDrains } from './TargetDrains.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';

/** Options of {@link PlacementRounds}. */
export interface PlacementRoundsOptions {
  readonly table: JobTable;
  readonly writer: RecordWriter;
  readonly runs: TaskRuns;
  readonly sessions: TargetSessions;
  readonly drains: TargetDrains;
  readonly mechanisms: Mechanisms;
  readonly metrics: Metrics;
  /** Steady clock, by which ages go. */
  readonly clock: Clock;
  /** Clock that tells which occurrences are due. */
  readonly dueClock: Clock;
}

/** Pause after a round, as a multiple of the time that it took: rounds take a quarter at most. */
const PAUSE_FACTOR = 3;
/** Longest pause between two rounds, in milliseconds: that of looks at targets. */
const MAX_PAUSE_MS = 250;

/** Rounds of placement: each gives waiting tasks to targets, stores that, and starts them. */
export class PlacementRounds {
  private readonly options: PlacementRoundsOptions;

  private waiting: Promise<void> | undefined;

  private isClosed = false;

  /** Monotonic time before which no further round begins. */
  private nextAtMs = 0;

  /**
   * Creates rounds of which none has run.
   * @param options - Jobs, targets, and where placements are stored.
   */
  constructor(options: PlacementRoundsOptions) {
    this.options = options;
  }

  /**
   * Runs a round; calls until it begins share it.
   * @returns Resolves once all changes are stored.
   * @throws RattanliftError Where this home has been replaced.
   */
  run(): Promise<void> {
    this.waiting ??= this.placeAndStore();
    return this.waiting;
  }

  /** Ends the rounds; nothing more is placed or started. */
  close(): void {
    this.isClosed = true;
  }

  private async placeAndStore(): Promise<void> {
    const { clock, metrics, runs, table, writer } = this.options;
    // What is placed during an append is stored only after it: one round does for all that came.
    await writer.whenIdle();
    await this.pause();
    this.waiting = undefined;
    const startedAtMs = clock.monotonicMs();
    const placed = this.isClosed ? [] : this.place();
    const records = table.takeChanges();
    const tookMs = clock.monotonicMs() - startedAtMs;
    this.nextAtMs = startedAtMs + tookMs + Math.min(MAX_PAUSE_MS, PAUSE_FACTOR * tookMs);
    metrics.timing('placement_round_ms', tookMs);
    await writer.write(records);
    if (!this.isClosed) placed.forEach((taskName) => runs.start(taskName));
  }

  /**
   * Guards against a home that falls further behind with each job that waits: every report asks for
   * a round, rounds take longer the more waits, and on a slow processor they left no time to renew
   * leases. It shows as `taskEnded` with `lapsed`, and as minutes without `taskPlaced`.
   */
  private async pause(): Promise<void> {
    const pauseMs = this.nextAtMs - this.options.clock.monotonicMs();
    if (pauseMs > 0) await sleep(pauseMs);
  }

  private listTargets(rows: readonly DurableJobRow[]): readonly PlacementTarget[] {
    const { drains, runs, sessions } = this.options;
    const holding = runs.listHoldingSuspects(rows.flatMap(listSuspects));
    const isAvoided = (targetId: string): boolean =>
      runs.isAvoided(targetId) || drains.has(targetId);
    const targets = sessions.listForPlacement(isAvoided);
    if (holding.size === 0) return targets;
    return targets.map((target) => ({ ...target, holdsSuspect: holding.has(target.targetId) }));
  }

  private place(): readonly string[] {
    const { clock, dueClock, mechanisms, runs, table } = this.options;
    const { runTimes } = runs;
    const dueAtMs = dueClock.wallMs();
    const rows = table.listActive();
    const waiting = rows.filter((row) => listReadyTasks(row, dueAtMs).length > 0);
    if (waiting.length === 0) return [];
    const placements = placeTasks({
      jobs: orderJobs(waiting, { runTimes, mechanisms, nowMs: clock.wallMs() }),
      mechanisms,
      occupants: rows,
      targets: this.listTargets(rows),
      failedOn: (jobId, position) => runs.getFailedTargets(jobId, position),
      nowMs: dueAtMs,
    });
    return placements.map((placement) => runs.reserve(placement));
  }
}
