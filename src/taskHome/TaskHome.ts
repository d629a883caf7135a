import { setTimeout as sleep } from 'node:timers/promises';
import { RattanliftError, throwError } from '../errors/index.js';
import {
  cancelJob,
  createJobRow,
  type DurableJobRow,
  type DurableJobSpec,
  type DurableJobState,
  encodeJobRemoval,
  endRun,
  findTask,
  formatTaskName,
  isFinished,
  listGangMates,
  parseTaskName,
  placeTask,
  type RunEnd,
  type StepSpec,
  type TaskRow,
  unplaceTask,
} from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import type { DurableJobRequest } from '../peers/index.js';
import type { KeyedLogPort, KeyedRecord } from '../store/index.js';
import {
  ArrivalRate,
  orderJobs,
  placeTasks,
  planEvacuations,
  type PoolDemand,
  RunTimes,
  type TaskPlacement,
} from '../systems/index.js';
import type {
  EndedTaskReport,
  LeasedTargetPort,
  RunningTaskReport,
  StartRefusal,
  TaskStart,
} from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import { describeDemand } from './describeDemand.js';
import { JobTable } from './JobTable.js';
import { RecordWriter } from './RecordWriter.js';
import { TargetDrains } from './TargetDrains.js';
import type { TargetEntries } from './TargetEntry.js';
import { TargetHealth } from './TargetHealth.js';
import type { TargetReport } from './TargetSession.js';
import { type TargetLoss, TargetSessions } from './TargetSessions.js';
import { type RunKey, TaskOrders } from './TaskOrders.js';
import { TaskPacer } from './TaskPacer.js';
import { TaskProgress } from './TaskProgress.js';
import type { TaskHomeTiming } from './TaskHomeTiming.js';

/** Options of {@link TaskHome}. */
export interface TaskHomeOptions {
  readonly store: KeyedLogPort;
  readonly targets: LeasedTargetPort;
  readonly topic: string;
  readonly partition: number;
  readonly producer: string;
  readonly term: number;
  readonly jobs: readonly DurableJobRow[];
  readonly timing: TaskHomeTiming;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly getEntries: () => TargetEntries;
  /** Whether this instance certainly still is the home at this moment. */
  readonly isCertain: () => boolean;
  /** Called once where another home has taken over. */
  readonly onReplaced: () => void;
}

/** What the fleet's home tells and asks about a pool. */
type PoolSync = Omit<Extract<DurableJobRequest, { readonly type: 'sync-pool' }>, 'type'>;

/** Longest time for which a report waits for its ends to be stored before the lease is renewed. */
const STORE_WAIT_MS = 400;
/** Leases of an earlier home count as lapsed after their length, 2 % for clocks, and a margin. */
const ADOPTED_LEASE_FACTOR = 1.1;

function toTaskName(row: DurableJobRow, task: TaskRow): string {
  return formatTaskName({ jobId: row.spec.jobId, ...task });
}

/** The home of one partition: it alone decides for the jobs and targets of the pools in it. */
export class TaskHome {
  private readonly options: TaskHomeOptions;

  private readonly table = new JobTable();

  private readonly writer: RecordWriter;

  private readonly orders: TaskOrders;

  private readonly sessions: TargetSessions;

  private readonly health: TargetHealth;

  private readonly runTimes = new RunTimes();

  /** When the runs under way were placed, by the monotonic clock. */
  private readonly placedAtMs = new Map<string, number>();

  private readonly arrivals = new Map<string, ArrivalRate>();

  private readonly drains: TargetDrains;

  private readonly progress: TaskProgress;

  private readonly pacer: TaskPacer;

  private flushing: Promise<void> | undefined;

  private readonly openedAtMs: number;

  private isClosed = false;

  /**
   * Takes over the jobs of a partition; orders go out once targets have answered.
   * @param options - Jobs as they are stored, the term, and the ports.
   */
  constructor(options: TaskHomeOptions) {
    const { clock, events, targets, term, jobs } = options;
    this.options = options;
    this.openedAtMs = clock.monotonicMs();
    this.writer = new RecordWriter({ ...options, onFenced: () => this.replace() });
    this.health = new TargetHealth({ clock, events });
    this.drains = new TargetDrains(clock);
    this.progress = new TaskProgress(clock);
    const getStep = (taskName: string): StepSpec | undefined => this.getStep(taskName);
    this.pacer = new TaskPacer({ port: targets, term, events, getStep });
    this.sessions = new TargetSessions({
      ...options,
      onReport: (targetId, report) => this.takeReport(targetId, report),
      onGone: (targetId, reason) => this.loseTarget(targetId, reason),
      onStaleTerm: () => this.replace(),
    });
    this.orders = new TaskOrders({
      port: targets,
      term,
      clock,
      events,
      getAddress: (targetId) => this.sessions.getAddress(targetId),
      createStart: (key) => this.createStart(key),
      onClock: (targetId, targetClockMs) => this.sessions.noteClock(targetId, targetClockMs),
      onRefused: (key, reason) => this.takeRefusal(key, reason),
      onVanished: (key) => this.endRun(key, { end: 'lapsed', checkpoint: undefined }, 'vanished'),
      onOtherLifetime: (targetId) => this.loseTarget(targetId, 'other-lifetime'),
      onStaleTerm: () => this.replace(),
    });
    jobs.forEach((row) => this.restore(row));
  }

  /** Term under which this home writes and orders. */
  get term(): number {
    return this.options.term;
  }

  /**
   * Accepts a job; a repeat of one that is known changes nothing.
   * @param spec - The job.
   * @returns Resolves once the job is stored.
   * @throws RattanliftError Of kind `home-unavailable` or `log-unavailable` where it was not
   * stored and never will be, or `outcome-unknown`.
   */
  async submit(spec: DurableJobSpec): Promise<void> {
    const { jobId } = spec;
    if (this.isClosed) throwError('home-unavailable', 'This home is closed.');
    if (this.table.get(jobId) !== undefined) {
      // The first one may still be on its way to the store; this write follows it.
      await this.writer.write([]);
      return;
    }
    if (this.writer.isStalled) throwError('log-unavailable', 'The store does not answer.');
    const row = createJobRow(spec);
    this.table.add(row);
    this.getArrivals(spec.terms.pool).note(this.runTimes.estimateWork(row));
    try {
      await this.flush();
    } catch (thrown) {
      this.table.remove(jobId);
      throw thrown;
    }
  }

  /**
   * Gets the state of a job.
   * @param jobId - Id of the job.
   * @returns The state, or undefined where there certainly is no such job.
   * @throws RattanliftError Of kind `home-unavailable` where this home cannot be sure.
   */
  getState(jobId: string): DurableJobState | undefined {
    const state = this.table.get(jobId)?.state;
    if (state === undefined) this.assertCertain();
    return state;
  }

  /**
   * Cancels a job.
   * @param jobId - Id of the job.
   * @returns Whether there is such a job; resolves once the cancel is stored.
   * @throws RattanliftError Where the cancel could not be stored, or the home cannot be sure.
   */
  async cancel(jobId: string): Promise<boolean> {
    const row = this.table.get(jobId);
    if (row === undefined) {
      this.assertCertain();
      return false;
    }
    if (!isFinished(row)) {
      this.table.put(cancelJob(row, this.options.clock.wallMs()));
      this.options.events.write('jobCancelled', { jobId, term: this.term, stateBefore: row.state });
    }
    await this.flush();
    this.stopFinished();
    return true;
  }

  /**
   * Counts the jobs of a queue that have not begun.
   * @param queue - Name of the queue.
   * @returns How many there are.
   * @throws RattanliftError Of kind `home-unavailable` where this home cannot be sure.
   */
  countPending(queue: string): number {
    this.assertCertain();
    return this.table.countPending(queue);
  }

  /**
   * Keeps new tasks off some targets for a while, empties them, and tells what the pool needs.
   * @param request - The pool, its drained targets in place of those named before, and the targets
   * whose lifetimes are over.
   * @returns Load and demand of the pool.
   * @throws RattanliftError Of kind `home-unavailable` where this home cannot be sure.
   */
  async syncPool({
    pool,
    drainedTargets,
    drainedForMs,
    endedTargets,
  }: PoolSync): Promise<PoolDemand> {
    this.assertCertain();
    this.loseEnded(endedTargets);
    this.drains.replace(pool, drainedTargets, drainedForMs);
    this.evacuate();
    // What was placed before this call is counted below; nothing is placed there after it.
    await this.flush().catch(() => undefined);
    return describeDemand({
      pool,
      rows: this.table.list(),
      targets: this.sessions.listForPlacement(() => false),
      countRuns: (targetId) => this.orders.listOn(targetId).length,
      runTimes: this.runTimes,
      arrivingCpuMillicores: this.getArrivals(pool).cpuMillicores,
      nowMs: this.options.clock.wallMs(),
    });
  }

  /** Looks at targets, due tasks and what is to be stopped or forgotten; called each tick. */
  tick(): void {
    if (this.isClosed) return;
    this.sessions.sync();
    this.loseUnknownTargets();
    this.evacuate();
    this.stopFinished();
    this.forgetOld();
    this.flushInBackground();
  }

  /**
   * Stores further records of the partition in this home's term.
   * @param records - The records.
   * @returns Resolves once they are stored.
   * @throws RattanliftError Where this home has been replaced.
   */
  store(records: readonly KeyedRecord[]): Promise<void> {
    return this.writer.write(records);
  }

  /** Gives the partition up; nothing more is written or ordered. */
  close(): void {
    this.isClosed = true;
    this.writer.close();
    this.sessions.close();
  }

  private restore(row: DurableJobRow): void {
    this.table.restore(row);
    row.tasks
      .filter(({ phase }) => phase === 'placed')
      .forEach((task) => {
        const { run, targetId } = task;
        this.orders.adopt({ taskName: toTaskName(row, task), run, targetId: targetId! });
      });
  }

  private replace(): void {
    if (this.isClosed) return;
    this.close();
    this.options.onReplaced();
  }

  private assertCertain(): void {
    if (this.isClosed || !this.options.isCertain()) {
      throwError('home-unavailable', 'This instance may not be the home any more.');
    }
  }

  private flushInBackground(): void {
    this.flush().catch((thrown: unknown) => {
      // A writer that has ended has logged why; its jobs live on at the next home.
      if (thrown instanceof RattanliftError) return;
      this.options.events.write('unexpectedError', { reason: String(thrown) });
    });
  }

  /** Places what can be placed and stores all changes; calls of one turn share the work. */
  private flush(): Promise<void> {
    this.flushing ??= this.placeAndStore();
    return this.flushing;
  }

  private async placeAndStore(): Promise<void> {
    await Promise.resolve();
    this.flushing = undefined;
    const placed = this.place();
    const records = this.table.takeChanges();
    await this.writer.write(records);
    if (!this.isClosed) placed.forEach((taskName) => this.orders.start(taskName));
  }

  private place(): readonly string[] {
    const rows = this.table.list();
    const placements = placeTasks({
      jobs: orderJobs(rows, { runTimes: this.runTimes, nowMs: this.options.clock.wallMs() }),
      occupants: rows,
      targets: this.sessions.listForPlacement(
        (targetId) => this.health.isAvoided(targetId) || this.drains.has(targetId),
      ),
      failedOn: (jobId, position) => this.getFailedTargets(jobId, position),
      nowMs: this.options.clock.wallMs(),
    });
    return placements.map((placement) => this.reserve(placement));
  }

  private reserve({ jobId, position, targetId }: TaskPlacement): string {
    const row = placeTask(this.table.get(jobId)!, position, targetId);
    this.table.put(row);
    const task = row.tasks[position]!;
    const taskName = toTaskName(row, task);
    const { run } = task;
    this.orders.reserve({ taskName, run, targetId });
    this.placedAtMs.set(taskName, this.options.clock.monotonicMs());
    this.options.events.write('taskPlaced', { jobId, taskName, run, targetId, term: this.term });
    return taskName;
  }

  private getFailedTargets(jobId: string, position: number): ReadonlySet<string> {
    const row = this.table.get(jobId)!;
    return this.health.getFailedTargets(toTaskName(row, row.tasks[position]!));
  }

  /** Finds the placed task of a run; undefined where the run is not the task's current one. */
  private findPlaced(
    key: RunKey,
  ): { readonly row: DurableJobRow; readonly position: number } | undefined {
    const name = parseTaskName(key.taskName);
    const row = name && this.table.get(name.jobId);
    if (name === undefined || row === undefined) return undefined;
    const position = findTask(row, name);
    const task = row.tasks[position];
    const isCurrent =
      task?.phase === 'placed' && task.run === key.run && task.targetId === key.targetId;
    return isCurrent ? { row, position } : undefined;
  }

  private createStart(key: RunKey): TaskStart | undefined {
    const found = this.findPlaced(key);
    if (found === undefined || isFinished(found.row)) return undefined;
    const { row, position } = found;
    return {
      taskName: key.taskName,
      run: key.run,
      payload: row.spec.payload,
      leaseUntilTargetMs: this.sessions.getLeaseUntilMs(key.targetId),
      term: this.term,
      checkpoint: row.tasks[position]!.checkpoint,
      ticket: undefined,
    };
  }

  private takeRefusal(key: RunKey, reason: StartRefusal): void {
    if (reason === 'malformed') {
      this.endRun(key, { end: 'failed', checkpoint: undefined }, reason);
      return;
    }
    if (reason !== 'lease-past') this.health.noteRefusal(key.targetId);
    const found = this.findPlaced(key);
    if (found !== undefined) {
      this.stopGangMates(found.row, found.position);
      this.table.put(unplaceTask(found.row, found.position));
    }
    this.flushInBackground();
  }

  private async takeReport(targetId: string, report: TargetReport): Promise<void> {
    if (this.isClosed) return;
    const { answer, askedAtMs } = report;
    const fresh = this.sessions.takeFreshEnds(targetId, answer.ended);
    fresh.forEach((ended) => this.takeEnd(targetId, ended));
    this.progress.note(answer.running);
    this.restartStalled(targetId, answer.running);
    const address = this.sessions.getAddress(targetId);
    if (address !== undefined) this.pacer.take(address, answer.running);
    this.orders.reconcile(targetId, answer.running, askedAtMs);
    if (answer.ended.length === 0) {
      this.flushInBackground();
      return;
    }
    const lastEndNumber = Math.max(...answer.ended.map(({ endNumber }) => endNumber));
    // Ends are forgotten by the target only once they are stored; a store that is away must not
    // keep the lease from being renewed.
    const stored = this.flush().then(() => this.sessions.acknowledge(targetId, lastEndNumber));
    stored.catch(() => undefined);
    await Promise.race([stored.catch(() => undefined), sleep(STORE_WAIT_MS)]);
  }

  /** Stops tasks that stand still, so that they start again on another target. */
  private restartStalled(targetId: string, running: readonly RunningTaskReport[]): void {
    running
      .filter(({ taskName, run }) => this.progress.isStalled(taskName, run))
      .filter(({ taskName }) => this.getStep(taskName)?.isGang === false)
      .forEach(({ taskName, run, progressPercent }) => {
        const { events } = this.options;
        events.write('taskStalled', { taskName, run, targetId, progressPercent });
        this.health.noteStall(targetId);
        this.progress.forget(taskName);
        this.orders.stop(taskName);
      });
  }

  private getStep(taskName: string): StepSpec | undefined {
    const name = parseTaskName(taskName);
    return name && this.table.get(name.jobId)?.spec.steps[name.step];
  }

  private takeEnd(targetId: string, ended: EndedTaskReport): void {
    const { taskName, run, end, checkpoint } = ended;
    this.endRun({ taskName, run, targetId }, { end, checkpoint }, 'reported');
  }

  private endRun(key: RunKey, runEnd: RunEnd, source: string): void {
    const { clock, events } = this.options;
    const found = this.findPlaced(key);
    if (found === undefined) return;
    const { taskName, run, targetId } = key;
    const { jobId } = found.row.spec;
    events.write('taskEnded', { jobId, taskName, run, targetId, end: runEnd.end, source });
    this.orders.forget(taskName);
    this.progress.forget(taskName);
    if (runEnd.end === 'done') {
      this.health.noteSuccess(targetId);
      this.noteRunTime(found.row, found.position, taskName);
    }
    this.placedAtMs.delete(taskName);
    if (runEnd.end === 'failed') this.health.noteFailure(targetId, jobId, taskName);
    const row = endRun(found.row, found.position, runEnd, clock.wallMs());
    this.forgetDone(found.row, row);
    this.table.put(row);
    if (isFinished(row) && !isFinished(found.row)) this.noteFinished(row);
  }

  /**
   * Tells whether a long-running task is at work and stays so. A target reports a run that is being
   * stopped until it has ended; counted as at work, it would let a second task of the step go.
   */
  private isAtWork(row: DurableJobRow, task: TaskRow): boolean {
    const taskName = toTaskName(row, task);
    if (task.phase !== 'placed' || this.orders.isStopping(taskName)) return false;
    return this.progress.isAtWork(taskName, task.run);
  }

  private noteRunTime({ spec, tasks }: DurableJobRow, position: number, taskName: string): void {
    const placedAtMs = this.placedAtMs.get(taskName);
    if (placedAtMs === undefined) return;
    const { estimatedRunMs } = spec.steps[tasks[position]!.step]!;
    const runMs = this.options.clock.monotonicMs() - placedAtMs;
    this.runTimes.note(spec.terms.queue, estimatedRunMs, runMs);
  }

  private getArrivals(pool: string): ArrivalRate {
    const known = this.arrivals.get(pool);
    if (known !== undefined) return known;
    const created = new ArrivalRate(this.options.clock);
    this.arrivals.set(pool, created);
    return created;
  }

  /** Forgets the orders of gang members that another member's end has made done. */
  private forgetDone(before: DurableJobRow, after: DurableJobRow): void {
    before.tasks
      .filter(({ phase }, place) => phase === 'placed' && after.tasks[place]!.phase === 'done')
      .forEach((task) => this.orders.forget(toTaskName(before, task)));
  }

  /** Stops long-running tasks on targets that are being emptied, as far as their steps allow. */
  private evacuate(): void {
    const drainedTargets = new Set([...this.drains.list(), ...this.sessions.listDraining()]);
    if (drainedTargets.size === 0) return;
    const evacuations = planEvacuations({
      jobs: this.table.list(),
      drainedTargets,
      isAtWork: (row, position) => this.isAtWork(row, row.tasks[position]!),
    });
    evacuations.forEach(({ jobId, position }) => {
      const row = this.table.get(jobId)!;
      const task = row.tasks[position]!;
      const taskName = toTaskName(row, task);
      const { targetId, run } = task;
      this.options.events.write('taskEvacuated', { jobId, taskName, run, targetId });
      this.progress.forget(taskName);
      this.orders.stop(taskName);
    });
  }

  private noteFinished({ spec, state }: DurableJobRow): void {
    const { clock, events } = this.options;
    const tookMs = clock.wallMs() - spec.submittedAtMs;
    events.write('jobFinished', { jobId: spec.jobId, queue: spec.terms.queue, state, tookMs });
  }

  /**
   * Takes note of lifetimes that are over by the platform's list of VMs, which shows a crash at
   * once. A target that falls silent would else keep its tasks until its lease has lapsed.
   */
  private loseEnded(endedTargets: readonly string[]): void {
    endedTargets
      .filter((targetId) => this.sessions.has(targetId) || this.orders.listOn(targetId).length > 0)
      .forEach((targetId) => this.loseTarget(targetId, 'unlisted'));
  }

  /** Frees the runs that an earlier home placed on targets that were gone before this one. */
  private loseUnknownTargets(): void {
    const { clock, timing } = this.options;
    const lapsedAtMs = this.openedAtMs + timing.targetLeaseMs * ADOPTED_LEASE_FACTOR;
    if (clock.monotonicMs() < lapsedAtMs) return;
    const targetIds = this.table
      .list()
      .flatMap(({ tasks }) => tasks.map(({ targetId }) => targetId))
      .filter((targetId) => targetId !== undefined)
      .filter((targetId) => !this.sessions.has(targetId));
    new Set(targetIds).forEach((targetId) => this.loseTarget(targetId, 'lapsed'));
  }

  private loseTarget(targetId: string, reason: TargetLoss): void {
    const keys = this.orders.listOn(targetId);
    this.sessions.remove(targetId, reason === 'lapsed');
    this.options.events.write('targetGone', { targetId, reason, runCount: keys.length });
    keys.forEach((key) => this.endRun(key, { end: 'lapsed', checkpoint: undefined }, reason));
    this.flushInBackground();
  }

  /** Stops the runs of jobs that are cancelled or have failed. */
  private stopFinished(): void {
    this.table
      .list()
      .filter(isFinished)
      .forEach((row) =>
        row.tasks
          .map((task, position) => ({ task, position }))
          .filter(({ task }) => task.phase === 'placed')
          .forEach(({ task, position }) => this.stopTask(row, task, position)),
      );
  }

  /**
   * Stops the others of a gang of which a member could not start. Left alone they would hold their
   * targets until the wait for that member ends, and count as started in vain.
   */
  private stopGangMates(row: DurableJobRow, position: number): void {
    listGangMates(row, position).forEach((place) =>
      this.orders.stop(toTaskName(row, row.tasks[place]!)),
    );
  }

  private stopTask(row: DurableJobRow, task: TaskRow, position: number): void {
    const taskName = toTaskName(row, task);
    if (!this.orders.isUnsent(taskName)) {
      this.orders.stop(taskName);
      return;
    }
    this.orders.forget(taskName);
    const current = this.table.get(row.spec.jobId)!;
    this.table.put(unplaceTask(current, position));
  }

  private forgetOld(): void {
    const { clock, timing } = this.options;
    const beforeMs = clock.wallMs() - timing.keepFinishedMs;
    const old = this.table
      .list()
      .filter((row) => row.finishedAtMs !== undefined && row.finishedAtMs < beforeMs)
      .filter((row) => row.tasks.every(({ phase }) => phase !== 'placed'));
    if (old.length === 0 || this.writer.isStalled) return;
    old.forEach(({ spec }) => this.table.remove(spec.jobId));
    const records = old.flatMap(({ spec }) => encodeJobRemoval(spec.jobId));
    this.writer.write(records).catch(() => undefined);
  }
}
