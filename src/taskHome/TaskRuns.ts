import {
  type DurableJobRow,
  isFinished,
  listPlacedTasks,
  nameTask,
  recordCrash,
  placeTask,
} from '../jobs/index.js';
import {
  type CrashEvidence,
  isSuspect,
  type PlacedSuspect,
  type RunTimes,
  type TargetIntake,
  type TaskPlacement,
} from '../systems/index.js';
import type { EndedTaskReport, TaskStart } from '../targets/index.js';
import type { EndedTargets } from '../vms/index.js';
import { createTaskStart } from './createTaskStart.js';
import { JobBeginnings } from './JobBeginnings.js';
import type { JobTable } from './JobTable.js';
import type { RunKey } from './RunKey.js';
import { type AttributedCrash, CrashAttribution } from './CrashAttribution.js';
import { LateRunRestarts } from './LateRunRestarts.js';
import { RunConfirmations } from './RunConfirmations.js';
import { LAPSED, RunEnds } from './RunEnds.js';
import { RunStopper } from './RunStopper.js';
import { RunTimer } from './RunTimer.js';
import { StartGuard } from './StartGuard.js';
import { TargetHealth } from './TargetHealth.js';
import type { TargetReport } from './TargetSession.js';
import type { TargetLossReason, TargetSessions } from './TargetSessions.js';
import type { TargetCallOptions } from './TargetCallOptions.js';
import { TaskOrders } from './TaskOrders.js';
import { TaskPacer } from './TaskPacer.js';
import { TaskPreemptor } from './TaskPreemptor.js';
import { TaskProgress } from './TaskProgress.js';
import type { TaskRunsOptions } from './TaskRunsOptions.js';
import { UnbegunRuns } from './UnbegunRuns.js';
import { UnevenTargets } from './UnevenTargets.js';

/** Manages the runs of a home's tasks from placement to end, including their failures. */
export class TaskRuns {
  /** Stops runs whose room more urgent work needs. */
  readonly preemptor: TaskPreemptor;

  /** Orders for the runs, from placement to end. */
  readonly orders: TaskOrders;

  private readonly options: TaskRunsOptions;

  private readonly table: JobTable;

  private readonly health: TargetHealth;

  private readonly progress: TaskProgress;

  private readonly pacer: TaskPacer;

  private readonly timer: RunTimer;

  private readonly stopper: RunStopper;

  private readonly startGuard: StartGuard;

  private readonly confirmations: RunConfirmations;

  private readonly crashAttribution: CrashAttribution;

  private readonly ends: RunEnds;

  private readonly unbegun: UnbegunRuns;

  private readonly uneven: UnevenTargets;

  private readonly restarts: LateRunRestarts;

  /**
   * Starts without runs.
   * @param options - Jobs, targets, and callbacks for changes.
   */
  constructor(options: TaskRunsOptions) {
    const { clock, events, targets, term, table } = options;
    this.options = options;
    this.table = table;
    const beginnings = new JobBeginnings(options);
    this.health = new TargetHealth({ clock, events });
    this.progress = new TaskProgress(clock);
    this.timer = new RunTimer(clock, options.mechanisms);
    this.uneven = new UnevenTargets({ ...options, runTimes: this.timer.runTimes });
    this.pacer = new TaskPacer({
      port: targets,
      term,
      events,
      getStep: (taskName) => table.getStep(taskName),
    });
    const calls: TargetCallOptions = {
      port: targets,
      term,
      events,
      getAddress: (targetId) => this.sessions.getAddress(targetId),
      createStart: (key) => this.createStart(key),
      onClock: (targetId, targetClockMs) => this.sessions.noteClock(targetId, targetClockMs),
    };
    this.orders = new TaskOrders({
      ...calls,
      clock,
      isGroupLeaseHeld: () => options.isGroupLeaseHeld(),
      refusesStarts: (targetId) => this.startGuard.refusesStarts(targetId),
      onBegun: (key) => beginnings.note(key.taskName),
      onStarted: (key, targetClockMs) => this.uneven.noteStarted(key, targetClockMs),
      onWithdrawn: (key) => this.unbegun.returnToWaiting(key),
      onRefused: (key, reason) => this.unbegun.noteRefusal(key, reason),
      onNeverBegins: (key, reason) => this.unbegun.handleNeverBegins(key, reason),
      onVanished: (key) => this.ends.apply(key, LAPSED, 'vanished'),
      onOtherLifetime: (targetId) => this.handleLostTarget(targetId, 'other-lifetime'),
      onStaleTerm: () => this.options.onStaleTerm(),
    });
    this.crashAttribution = new CrashAttribution({ ...options, orders: this.orders });
    this.startGuard = new StartGuard({ ...options, orders: this.orders });
    this.confirmations = new RunConfirmations({
      ...calls,
      find: (taskName) => this.orders.find(taskName),
      isReachable: (targetId) => this.sessions.getSession(targetId)?.isReachable === true,
      onConfirmed: () => this.options.onChanged(),
    });
    const { orders, health, progress, timer, uneven } = this;
    this.stopper = new RunStopper({ ...options, orders, health, progress });
    this.preemptor = new TaskPreemptor({ ...options, orders, progress });
    this.ends = new RunEnds({ ...options, orders, beginnings, health, progress, timer, uneven });
    const { ends, stopper } = this;
    this.unbegun = new UnbegunRuns({ ...options, health, stopper, ends });
    const isAvoided = (targetId: string): boolean => this.isAvoided(targetId);
    this.restarts = new LateRunRestarts({ ...options, orders, stopper, uneven, isAvoided });
  }

  /** The run times learned so far. */
  get runTimes(): RunTimes {
    return this.timer.runTimes;
  }

  private get sessions(): TargetSessions {
    return this.options.getSessions();
  }

  /**
   * Takes over the runs that an earlier home has placed and may have started.
   * @param row - A job as it is stored.
   */
  restore(row: DurableJobRow): void {
    listPlacedTasks(row).forEach(({ task }) => {
      const { run, targetId } = task;
      this.orders.adopt({ taskName: nameTask(row, task), run, targetId: targetId! });
      this.startGuard.noteAdopted(targetId!);
    });
  }

  /**
   * Places a task on a target; the start follows once the placement is stored.
   * @param placement - The task and its target.
   * @returns The run.
   */
  reserve({ jobId, position, targetId, freeCpuMillicores }: TaskPlacement): RunKey {
    const before = this.table.getActive(jobId)!;
    const row = placeTask(before, position, targetId);
    this.table.put(row);
    const task = row.tasks[position]!;
    const taskName = nameTask(row, task);
    const key = { taskName, run: task.run, targetId };
    this.orders.reserve(key);
    this.timer.begin(taskName);
    const reportAgeMs = this.sessions.getAnswerAgeMs(targetId);
    this.options.telemetry.notePlaced(before, key, { freeCpuMillicores, reportAgeMs });
    return key;
  }

  /**
   * Starts a run whose placement is stored.
   * @param key - The run.
   */
  start(key: RunKey): void {
    const { taskName } = key;
    this.orders.start(key);
    const task = this.table.findTask(taskName)?.task;
    if (task !== undefined && isSuspect(task)) void this.confirmations.confirmAfterDelay(taskName);
  }

  /**
   * Lists the targets on which a task has failed.
   * @param jobId - Id of the job.
   * @param position - Index of the task among the job's tasks.
   * @returns Ids of the targets.
   */
  getFailedTargets(jobId: string, position: number): ReadonlySet<string> {
    const row = this.table.getActive(jobId)!;
    return this.health.getFailedTargets(nameTask(row, row.tasks[position]!));
  }

  /**
   * Tells whether a target is to be avoided at this moment.
   * @param targetId - The target.
   * @returns Whether it should get no new task.
   */
  isAvoided(targetId: string): boolean {
    const { mechanisms } = this.options;
    if (this.orders.hasUnwantedRuns(targetId)) return true;
    return mechanisms.has('failing-targets-avoided') && this.health.isAvoided(targetId);
  }

  /**
   * Tells which tasks a target may get, as far as it is slow or fails beside its peers.
   * @param targetId - The target.
   * @returns The tasks.
   */
  getIntake(targetId: string): TargetIntake {
    return this.uneven.getIntake(targetId);
  }

  /**
   * Counts the runs on a target, started or not.
   * @param targetId - The target.
   * @returns How many there are.
   */
  countOn(targetId: string): number {
    return this.orders.countOn(targetId);
  }

  /**
   * Handles a report of what a target runs and which runs have ended there.
   * @param targetId - The target.
   * @param ended - Ends that were not taken before.
   * @param report - The whole report.
   */
  handleReport(targetId: string, ended: readonly EndedTaskReport[], report: TargetReport): void {
    const { running, targetClockMs } = report.answer;
    this.uneven.paces.noteClock(targetId, targetClockMs);
    ended.forEach(({ taskName, run, end, checkpoint }) =>
      this.ends.applyReported({ taskName, run, targetId }, { end, checkpoint }),
    );
    this.progress.note(report);
    this.uneven.noteReport(targetId, report);
    this.stopper.stopStalled(targetId, running);
    this.restarts.check(targetId, report);
    const address = this.sessions.getAddress(targetId);
    if (address !== undefined) this.pacer.handleReport(address, running);
    this.orders.reconcile(targetId, report);
  }

  /**
   * Stops long-running tasks on targets that are being drained, as far as their steps allow.
   * @param drainedTargets - Ids of the targets.
   */
  evacuate(drainedTargets: ReadonlySet<string>): void {
    this.stopper.evacuate(drainedTargets);
  }

  /**
   * Handles lifetimes that are over according to the platform's list of VMs, which shows a crash at
   * once. Otherwise a target that falls silent would keep its tasks until its lease has lapsed.
   * @param ended - The lifetimes, and which of them crashed.
   */
  handleEndedTargets({ endedTargets, crashedTargets, lostWithRack }: EndedTargets): void {
    const crashed = new Set(crashedTargets);
    const withRack = new Set(lostWithRack);
    const known = endedTargets.filter(
      (targetId) => this.sessions.getSession(targetId) !== undefined || this.countOn(targetId) > 0,
    );
    endedTargets.forEach((targetId) => this.sessions.forgetLapse(targetId));
    known.forEach((targetId) =>
      this.handleLostTarget(targetId, crashed.has(targetId) ? 'crashed' : 'unlisted'),
    );
    crashedTargets.forEach((targetId) =>
      this.attributeCrash(targetId, withRack.has(targetId) ? 'weak' : 'strong'),
    );
  }

  /**
   * Lists the targets on which a task that may have crashed another target has just begun.
   * @param suspects - The placed tasks that may have crashed a target.
   * @returns Ids of the targets.
   */
  listTargetsHeldBySuspects(suspects: readonly PlacedSuspect[]): ReadonlySet<string> {
    return new Set(
      suspects
        .filter(({ taskName, targetId }) => !this.crashAttribution.isProven(taskName, targetId))
        .map(({ targetId }) => targetId),
    );
  }

  /**
   * Ends the runs on a target on which nothing can run any more. One that answers as another
   * lifetime has crashed, though no list may show it: between two lists, or two homes of the fleet.
   * @param targetId - The target.
   * @param reason - How the loss became known.
   */
  handleLostTarget(targetId: string, reason: TargetLossReason): void {
    const lost = this.crashAttribution.noteLoss(targetId, reason);
    if (reason === 'lapsed') {
      this.sessions.suspend(targetId, this.orders.listUnansweredStarts(targetId));
    } else this.sessions.remove(targetId);
    this.options.events.write('targetGone', { targetId, reason, runCount: lost.length });
    lost.forEach((run) => this.ends.applyLoss(run, reason));
    this.orders.forgetTarget(targetId);
    this.uneven.forgetTarget(targetId);
    if (reason === 'other-lifetime') this.attributeCrash(targetId, 'weak');
    this.options.onChanged();
  }

  /** Stops the runs of jobs that are cancelled or have failed. */
  stopFinished(): void {
    this.stopper.stopFinished();
  }

  /**
   * Stops what must not run on, and starts what was withheld; called on each tick.
   * @param drainedTargets - Ids of the targets that are being drained.
   */
  check(drainedTargets: ReadonlySet<string>): void {
    this.uneven.check();
    this.restarts.noteDrained(drainedTargets);
    this.evacuate(drainedTargets);
    this.stopFinished();
    this.orders.startWithheld();
  }

  /** Handles the crash of a target that was lost now or some seconds ago. */
  private attributeCrash(targetId: string, evidence: CrashEvidence): void {
    const crashes = this.crashAttribution.attributeCrash(targetId, evidence);
    crashes.forEach((crash) => this.applyCrash(crash));
    if (crashes.length > 0) this.options.onChanged();
  }

  private applyCrash({ run, crash }: AttributedCrash): void {
    const { clock, telemetry } = this.options;
    const found = this.table.findTask(run.taskName);
    if (found === undefined || found.task.phase === 'done') return;
    const row = recordCrash(found.row, found.position, crash, clock.wallMs());
    this.table.put(row);
    if (!isFinished(row) || isFinished(found.row)) return;
    telemetry.noteGivenUp(row, run, crash);
    telemetry.noteFinished(row);
  }

  private createStart(key: RunKey): TaskStart | undefined {
    const found = this.table.findPlaced(key);
    if (found === undefined || isFinished(found.row)) return undefined;
    const leaseUntilTargetMs = this.sessions.extendLease(key.targetId);
    return createTaskStart(key, found, { leaseUntilTargetMs, term: this.options.term });
  }
}
