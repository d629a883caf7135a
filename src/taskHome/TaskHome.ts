import { RattanliftError, throwError } from '../errors/index.js';
import type { DurableJobSpec, DurableJobState, JobCaller, PoolSearch } from '../jobs/index.js';
import type { KeyedRecord } from '../store/index.js';
import { alignSubmissions, type PoolDemand } from '../systems/index.js';
import { type Clock, SteadyClock } from '../utils/index.js';
import { CallerJobs } from './CallerJobs.js';
import { HomeLeases } from './HomeLeases.js';
import type { SoughtJob } from './JobSubmissions.js';
import { JobTable } from './JobTable.js';
import { JobTelemetry } from './JobTelemetry.js';
import { LeaseLapses } from './LeaseLapses.js';
import type { OpenedPartition } from './PartitionOpening.js';
import type { ClaimedTerm } from './PartitionTerms.js';
import type { PoolOrganisations } from './LimitParts.js';
import { PlacementRounds } from './PlacementRounds.js';
import { PoolArrivals } from './PoolArrivals.js';
import { PoolSync, type SyncPoolParameters } from './PoolSync.js';
import { RecordWriter, type RecordWriterOptions } from './RecordWriter.js';
import { SilentTargetsLog } from './SilentTargetsLog.js';
import { removeExpiredJobs } from './removeExpiredJobs.js';
import { TargetReports } from './TargetReports.js';
import { TargetSessions } from './TargetSessions.js';
import type { TaskHomeOptions } from './TaskHomeOptions.js';
import { TaskRuns } from './TaskRuns.js';

/**
 * The home of one partition, which alone schedules the jobs and targets of the pools in it.
 *
 * It renews the leases of the targets from the start, and everything else begins with
 * {@link TaskHome.load}. The partition may take longer to read than a lease lasts, and the tasks on
 * the targets would be killed meanwhile.
 */
export class TaskHome {
  /** The leases of the targets, which this home renews with or without its jobs. */
  readonly leases: HomeLeases;

  /** The jobs as callers see them, without regard to whether another instance may be the home. */
  readonly jobs: CallerJobs;

  private readonly options: TaskHomeOptions & Pick<RecordWriterOptions, 'term' | 'lastSequence'>;

  private readonly table: JobTable;

  private readonly writer: RecordWriter;

  private readonly runs: TaskRuns;

  private readonly sessions: TargetSessions;

  private readonly telemetry: JobTelemetry;

  private readonly poolSync: PoolSync;

  private readonly rounds: PlacementRounds;

  /** Clock that determines which tasks are due; ages are measured by the options' steady clock. */
  private readonly wallClock: Clock;

  private readonly reports: TargetReports;

  private readonly lapses: LeaseLapses;

  private readonly silentTargets: SilentTargetsLog;

  private readonly closing = new AbortController();

  /**
   * Creates the home of a partition, without its jobs.
   * @param options - The claimed term, and the ports.
   */
  constructor(options: TaskHomeOptions) {
    const clock = new SteadyClock(options.clock);
    const { term, sequence: lastSequence } = options.claimed;
    this.options = { ...options, clock, term, lastSequence };
    this.wallClock = options.clock;
    this.table = new JobTable(clock);
    this.writer = new RecordWriter({ ...this.options, onFenced: () => this.handleReplaced() });
    this.telemetry = new JobTelemetry(this.options);
    this.runs = new TaskRuns({
      ...this.options,
      telemetry: this.telemetry,
      table: this.table,
      getSessions: () => this.sessions,
      onChanged: () => this.flushInBackground(),
      onStaleTerm: () => this.handleReplaced(),
    });
    this.reports = new TargetReports({
      ...this.options,
      writer: this.writer,
      runs: this.runs,
      getSessions: () => this.sessions,
      flush: () => this.flush(),
      flushInBackground: () => this.flushInBackground(),
      isClosed: () => this.closed.aborted,
    });
    this.lapses = new LeaseLapses({
      ...this.options,
      table: this.table,
      writer: this.writer,
      getSessions: () => this.sessions,
      onLapsed: (targetId) => this.runs.handleLostTarget(targetId, 'lapsed'),
    });
    this.sessions = new TargetSessions({
      ...this.options,
      lapses: this.lapses,
      getTargetWaitMs: () => (this.isLoaded ? options.timing.targetWaitMs : 0),
      hasRuns: (targetId) => this.runs.countOn(targetId) > 0,
      hasUnwantedRuns: (targetId) => this.runs.orders.hasUnwantedRuns(targetId),
      listUsedTargets: () => this.table.listUsedTargets(),
      listUnconfirmedStarts: (...target) => this.runs.orders.listUnconfirmedStarts(...target),
      onReport: (targetId, report) => this.reports.handleReport(targetId, report),
      onGone: (targetId, reason) => this.reports.handleGone(targetId, reason),
      onStaleTerm: () => this.handleReplaced(),
    });
    const { runs, sessions, table, telemetry, writer } = this;
    this.leases = new HomeLeases(sessions, clock);
    const arrivals = new PoolArrivals(clock);
    const parts = { ...this.options, table, runs, sessions, telemetry };
    this.silentTargets = new SilentTargetsLog(parts);
    this.poolSync = new PoolSync({
      ...parts,
      arrivals,
      dueClock: this.wallClock,
      evacuate: () => this.runs.evacuate(this.listTargetsToEvacuate()),
      flush: () => this.flush(),
      assertIsHome: () => this.assertIsHome(),
    });
    const { drains } = this.poolSync;
    const { wallClock } = this;
    const flush = (): Promise<void> => this.flush();
    this.jobs = new CallerJobs({ ...parts, arrivals, drains, wallClock, writer, flush });
    this.rounds = new PlacementRounds({
      ...parts,
      drains,
      writer,
      listRefusingPools: () => this.jobs.listRefusingPools(),
      limitParts: this.poolSync.limitParts,
      dueClock: this.wallClock,
    });
  }

  /** Claim by which this home owns its partition. */
  get claimed(): ClaimedTerm {
    return this.options.claimed;
  }

  /** Term under which this home writes records and commands targets. */
  get term(): number {
    return this.claimed.term;
  }

  /** Is aborted once this home has given up its partition. */
  get closed(): AbortSignal {
    return this.closing.signal;
  }

  /** Whether this home has its jobs and can serve requests. */
  get isLoaded(): boolean {
    return this.reports.isLoaded;
  }

  /**
   * Takes over the jobs of the partition; starts and stops are sent once targets have answered.
   * @param opened - The stored jobs, and all records of the partition.
   */
  load({ jobs, endedJobs, records }: OpenedPartition): void {
    const { clock } = this.options;
    this.lapses.restore(records);
    endedJobs.forEach((job) => this.table.restoreEnded(job));
    alignSubmissions(jobs, clock.wallMs()).forEach((row) => {
      this.table.restore(row);
      this.runs.restore(row);
    });
    this.jobs.handleLoaded(records, jobs);
    this.reports.handleLoaded();
  }

  /**
   * Accepts a job. A repeated submission changes nothing.
   * @param spec - The job.
   * @param search - Search in which no home had the job; absent if there was none.
   * @returns Resolves with nothing once the job is stored; or with the search that has to come
   * first, and nothing is stored.
   * @throws RattanliftError Of kind `home-unavailable`, `log-unavailable`, `no-capacity` or
   * `job-too-large` if the job was not stored and never will be, `request-id-reused` if another
   * organisation's job has the id, or `outcome-unknown`.
   */
  async submit(spec: DurableJobSpec, search?: PoolSearch): Promise<PoolSearch | undefined> {
    this.assertIsOpen();
    return this.jobs.submit(spec, search);
  }

  /**
   * Finds a job for a later pool of its queue; from a denial on, it is not accepted here.
   * @param sought - The job, and the queue as the later pool has it.
   * @returns Whether the job is stored here.
   * @throws RattanliftError Of kind `request-id-reused` if another organisation's job has the id,
   * or `home-unavailable` if another instance may be the home.
   */
  async find(sought: SoughtJob): Promise<boolean> {
    this.assertIsHome();
    const isStored = await this.jobs.find(sought);
    this.assertIsHome();
    return isStored;
  }

  /**
   * Gets the state of a job.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is, and on which queue.
   * @returns The state, in which an end counts once it is stored; undefined if there is no job that
   * the caller may see.
   * @throws RattanliftError Of kind `home-unavailable` if another instance may be the home.
   */
  getState(jobId: string, caller: JobCaller = {}): DurableJobState | undefined {
    const state = this.jobs.getState(jobId, caller);
    if (state === undefined) this.assertIsHome();
    return state;
  }

  /**
   * Cancels a job.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is, and on which queue.
   * @returns Whether there is a job that the caller may see; resolves once the cancellation is
   * stored.
   * @throws RattanliftError If the cancellation could not be stored, or another instance may be
   * the home.
   */
  async cancel(jobId: string, caller: JobCaller = {}): Promise<boolean> {
    const isKnown = await this.jobs.cancel(jobId, caller);
    if (!isKnown) this.assertIsHome();
    return isKnown;
  }

  /**
   * Counts the jobs of a queue that have not started.
   * @param queue - Name of the queue.
   * @param address - Address of the queue; absent if it has only its name.
   * @returns The number of jobs.
   * @throws RattanliftError Of kind `home-unavailable` if another instance may be the home.
   */
  countPending(queue: string, address?: string): number {
    this.assertIsHome();
    return this.table.countPending(queue, address);
  }

  /**
   * Drains some targets for a limited time, and describes the load and demand of the pool.
   * @param request - The pool, its drained targets, which replace those of the previous request,
   * the targets whose lifetimes are over, and parts of limits.
   * @returns Load and demand of the pool.
   * @throws RattanliftError Of kind `home-unavailable` if another instance may be the home.
   */
  async syncPool(request: SyncPoolParameters): Promise<PoolDemand> {
    this.assertIsHome();
    return this.poolSync.sync(request);
  }

  /**
   * Gets what organisations use in a pool and what they may use.
   * @param pool - Name of the pool.
   * @returns Their use, and the parts of their limits.
   * @throws RattanliftError Of kind `home-unavailable` if another instance may be the home.
   */
  getOrganisationUse(pool: string): PoolOrganisations {
    this.assertIsHome();
    return this.poolSync.getOrganisations(pool);
  }

  /** Opens sessions with newly listed targets. */
  syncTargets(): void {
    if (!this.closed.aborted) this.sessions.sync();
  }

  /** Checks targets, places due tasks, stops runs and removes old jobs; called on each tick. */
  tick(): void {
    if (this.closed.aborted) return;
    this.sessions.sync();
    if (!this.isLoaded) return;
    this.lapses.check();
    this.silentTargets.check();
    this.runs.check(this.listTargetsToEvacuate());
    removeExpiredJobs(
      { table: this.table, writer: this.writer },
      this.options.timing.keepFinishedMs,
    );
    this.flushInBackground();
  }

  /**
   * Stores other records of the partition in this home's term.
   * @param records - The records.
   * @returns Resolves once they are stored.
   * @throws RattanliftError If this home has been replaced.
   */
  store(records: readonly KeyedRecord[]): Promise<void> {
    return this.writer.write(records);
  }

  /** Gives up the partition; no more records are written and no more commands are sent. */
  close(): void {
    this.closing.abort();
    this.rounds.close();
    this.writer.close();
    this.sessions.close();
  }

  private handleReplaced(): void {
    if (this.closed.aborted) return;
    this.close();
    this.options.onReplaced();
  }

  private assertIsOpen(): void {
    if (this.closed.aborted) throwError('home-unavailable', 'This home is closed.');
    if (!this.isLoaded) throwError('home-unavailable', 'This home is still reading its jobs.');
  }

  private assertIsHome(): void {
    this.assertIsOpen();
    if (!this.options.isGroupLeaseHeld()) {
      throwError('home-unavailable', 'This instance may not be the home any more.');
    }
  }

  private flushInBackground(): void {
    this.flush().catch((thrown: unknown) => {
      // A closed writer has logged the reason; the next home takes over the jobs.
      if (thrown instanceof RattanliftError) return;
      this.options.events.write('unexpectedError', { reason: String(thrown) });
    });
  }

  /** Places ready tasks and stores all changes. */
  private flush(): Promise<void> {
    return this.rounds.run();
  }

  /** Lists targets to evacuate: the fleet's home takes their VMs, or they announced their leave. */
  private listTargetsToEvacuate(): ReadonlySet<string> {
    return new Set([...this.poolSync.drains.list(), ...this.sessions.listDraining()]);
  }
}
