import { setTimeout as sleep } from 'node:timers/promises';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { DurableJobRow } from '../jobs/index.js';
import { getWeight, type Organisation } from '../queues/index.js';
import {
  listReadyTasks,
  listSuspects,
  mayRunProbe,
  type Mechanisms,
  OrganisationRooms,
  orderJobs,
  type PlacementTarget,
  placeTasks,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { LimitParts } from './LimitParts.js';
import type { RecordWriter } from './RecordWriter.js';
import type { RunKey } from './RunKey.js';
import type { TargetDrains } from './TargetDrains.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';
import { UnplacedLog } from './UnplacedLog.js';

/** Options of {@link PlacementRounds}. */
export interface PlacementRoundsOptions {
  readonly table: JobTable;
  readonly writer: RecordWriter;
  readonly runs: TaskRuns;
  readonly sessions: TargetSessions;
  readonly drains: TargetDrains;
  readonly limitParts: LimitParts;
  /** Lists the organisations of the configuration in force. */
  readonly listOrganisations: () => readonly Organisation[];
  readonly telemetry: JobTelemetry;
  readonly mechanisms: Mechanisms;
  /** Lists the pools that refuse what they can't serve in time; none if absent. */
  readonly listRefusingPools?: () => ReadonlySet<string>;
  readonly metrics: Metrics;
  readonly events: EventLog;
  readonly partition: number;
  readonly term: number;
  /** Steady clock, by which ages are measured. */
  readonly clock: Clock;
  /** Clock that determines which occurrences are due. */
  readonly dueClock: Clock;
}

/** Pause after a round, as a multiple of its duration: rounds take at most 1/4 of the time. */
const PAUSE_FACTOR = 3;
/** Longest pause between two rounds, in milliseconds: the interval of target checks. */
const MAX_PAUSE_MS = 250;

/** Runs placement rounds: each places waiting tasks on targets, stores this, and starts them. */
export class PlacementRounds {
  private readonly options: PlacementRoundsOptions;

  private readonly unplaced: UnplacedLog;

  private waiting: Promise<void> | undefined;

  private isClosed = false;

  /** Monotonic time before which no further round begins. */
  private nextRoundAtMs = 0;

  /**
   * Creates a scheduler of rounds; none has run yet.
   * @param options - Jobs, targets, and the writer that stores placements.
   */
  constructor(options: PlacementRoundsOptions) {
    this.options = options;
    this.unplaced = new UnplacedLog(options);
  }

  /**
   * Runs a round; all calls before it begins share it.
   * @returns Resolves once all changes are stored.
   * @throws RattanliftError If this home has been replaced.
   */
  run(): Promise<void> {
    this.waiting ??= this.placeAndStore();
    return this.waiting;
  }

  /** Ends the rounds; no more tasks are placed or started. */
  close(): void {
    this.isClosed = true;
  }

  private async placeAndStore(): Promise<void> {
    const { clock, metrics, runs, table, writer } = this.options;
    // A placement made during an append is stored only after it, so one round after the append
    // covers all requests that arrived meanwhile.
    await writer.whenIdle();
    await this.waitForNextRound();
    this.waiting = undefined;
    const startedAtMs = clock.monotonicMs();
    const placed = this.isClosed ? [] : this.placeReadyTasks();
    const records = table.takeChanges();
    const unstoredEnds = table.listUnstoredEnds();
    const tookMs = clock.monotonicMs() - startedAtMs;
    this.nextRoundAtMs = startedAtMs + tookMs + Math.min(MAX_PAUSE_MS, PAUSE_FACTOR * tookMs);
    metrics.timing('placement_round_ms', tookMs);
    await writer.write(records);
    table.noteEndsStored(unstoredEnds);
    if (!this.isClosed) placed.forEach((key) => runs.start(key));
  }

  /**
   * Waits until the next round may begin, so that rounds leave time to renew leases. Every report
   * requests a round, and a round takes longer the more jobs wait. On a slow processor, a home
   * without this pause falls further behind with each waiting job: the log shows `taskEnded` with
   * `lapsed`, and minutes without `taskPlaced`.
   */
  private async waitForNextRound(): Promise<void> {
    const pauseMs = this.nextRoundAtMs - this.options.clock.monotonicMs();
    if (pauseMs > 0) await sleep(pauseMs);
  }

  private listTargets(rows: readonly DurableJobRow[]): readonly PlacementTarget[] {
    const { drains, runs, sessions } = this.options;
    const suspectHolders = runs.listTargetsHeldBySuspects(rows.flatMap(listSuspects));
    const isAvoided = (targetId: string): boolean =>
      runs.isAvoided(targetId) || drains.has(targetId);
    return sessions.listForPlacement(isAvoided).map((target) => ({
      ...target,
      intake: runs.getIntake(target.targetId),
      holdsSuspect: suspectHolders.has(target.targetId),
    }));
  }

  private placeReadyTasks(): readonly RunKey[] {
    const { clock, dueClock, mechanisms, runs, table, telemetry } = this.options;
    const { limitParts, listOrganisations, listRefusingPools } = this.options;
    const { runTimes } = runs;
    const dueAtMs = dueClock.wallMs();
    table.advanceOccurrences(dueAtMs);
    const rows = table.listActive();
    const readyJobs = rows.filter((row) => listReadyTasks(row, dueAtMs).length > 0);
    if (readyJobs.length === 0) return [];
    const organisations = listOrganisations();
    const rooms = new OrganisationRooms(rows, (pool, name) => limitParts.get(pool, name));
    const nowMs = clock.wallMs();
    const targets = this.listTargets(rows);
    const jobs = orderJobs(readyJobs, {
      runTimes,
      mechanisms,
      allocatedJobs: rows,
      refusingPools: listRefusingPools?.(),
      getWeight: (name) => getWeight(organisations, name),
      nowMs,
    });
    const placements = placeTasks({
      jobs,
      mechanisms,
      allocatedJobs: rows,
      rooms,
      targets,
      mayProbe: (row) => mayRunProbe(row, runTimes, nowMs),
      getFailedTargets: (jobId, position) => runs.getFailedTargets(jobId, position),
      nowMs: dueAtMs,
    });
    telemetry.noteWithheld(rooms.withheld);
    const placed = placements.map((placement) => runs.reserve(placement));
    // Planning stops counts the room to come as taken, and would spoil the reasons in this log.
    this.unplaced.noteRound(rooms, () => this.listTargets(table.listActive()));
    runs.preemptor.makeRoom({
      waitingJobs: jobs.map(({ spec }) => table.getActive(spec.jobId)!),
      allocatedJobs: table.listActive(),
      targets,
      runTimes,
      rooms,
      nowMs,
      dueAtMs,
    });
    return placed;
  }
}
