import type { TargetCondition } from '../../../standins/leasedTargets/CallFate.js';
import { assertNever } from '../../../src/utils/index.js';
import { makeJob } from '../HomeWorld.js';
import { HistoryDrains, SYNC_EVERY_MS } from './HistoryDrains.js';
import { type HistoryHomes, PLATFORM_TIMING } from './HistoryHomes.js';
import type { HistoryJobs } from './HistoryJobs.js';
import { HistoryScene } from './HistoryScene.js';
import type { HistoryTargets } from './HistoryTargets.js';
import { listLostTasks } from './listLostTasks.js';
import {
  type EarlierHome,
  type EntryFate,
  LOST_TASK_TARGET_COUNT,
  type LostTaskHistory,
  type LostTaskStep,
} from './LostTaskHistory.js';
import { type DrawnJob, makeSteps } from './RunHistory.js';
import type { RunWatch } from './RunWatch.js';
import type { VirtualTime } from './VirtualTime.js';

type SilenceStep = Extract<LostTaskStep, { readonly type: 'silence' }>;

/** Room for all tasks of a history on two targets, with as much beside them. */
const CAPACITY = { cpuMillicores: 64_000, memoryMb: 100_000, gpuCount: 0 } as const;
/** The bounds of the platform: 2 % slow, and as much too fast. */
const CLOCK_RATES = [0.98, 1, 1.02] as const;
const SERVICE: DrawnJob = { shape: 'service', runMs: Infinity, failureCount: 0 };
const SERVICE_TASK_COUNT = makeSteps('service')[0]!.taskCount;
/** Interval at which jobs are handed in again and states are read, in milliseconds. */
const LOOK_EVERY_MS = 100;
/** Time within which the service is at work before the first step, in milliseconds. */
const START_MS = 3_000;
/** Time after which a replaced home has heard of it from the group, in milliseconds. */
const CLOSES_AFTER_MS = 300;
/** Time within which a home works once nothing disturbs it, in milliseconds. */
const HOME_WITHIN_MS = 6_000;
/** Time of calm: a lease, the time after which a task is lost, and as much again. */
const CALM_MS = 20_000;

/** A service and other jobs on real homes and stand-ins in virtual time. */
export class LostTaskHistoryWorld {
  readonly watch: RunWatch;

  private readonly time: VirtualTime;

  private readonly scene: HistoryScene;

  private readonly targets: HistoryTargets;

  private readonly homes: HistoryHomes;

  private readonly jobs: HistoryJobs;

  private readonly drains: HistoryDrains;

  /** Targets that are up and don't answer, with the reason. */
  private readonly silent = new Map<string, TargetCondition>();

  private isCalm = false;

  /** When the last fault was lifted, in virtual time. */
  private liftedAtMs = 0;

  private isOver = false;

  /**
   * Creates a world with a home that opens.
   * @param time - Virtual time, which begins again.
   */
  constructor(time: VirtualTime) {
    this.time = time;
    this.scene = new HistoryScene({
      time,
      targets: {
        count: LOST_TASK_TARGET_COUNT,
        entryChanges: { capacity: CAPACITY },
        clockRates: CLOCK_RATES,
      },
      timing: PLATFORM_TIMING,
    });
    this.watch = this.scene.watch;
    this.targets = this.scene.targets;
    this.homes = this.scene.homes;
    this.jobs = this.scene.jobs;
    this.drains = new HistoryDrains(time, this.homes);
    this.look();
  }

  /**
   * Plays a history, and the calm after it.
   * @param history - The history.
   * @returns What should not have happened, one sentence each.
   */
  async play(history: LostTaskHistory): Promise<readonly string[]> {
    const { jobs, steps, calmChangesAfterMs, maxTasksPerTarget } = history;
    await this.time.advance(SYNC_EVERY_MS);
    this.submit(SERVICE, maxTasksPerTarget);
    jobs.forEach((job) => this.submit(job));
    await this.time.advance(START_MS);
    await steps.reduce(async (earlier, step) => {
      await earlier;
      await this.apply(step);
    }, Promise.resolve());
    await this.calmDown(maxTasksPerTarget);
    const calmAtMs = this.nowMs;
    await this.changeHomes(calmChangesAfterMs);
    await this.time.advance(calmAtMs + CALM_MS - this.nowMs);
    const violations = this.listViolations(calmAtMs);
    this.isOver = true;
    this.drains.close();
    this.homes.close();
    return violations;
  }

  private get nowMs(): number {
    return this.time.monotonicMs();
  }

  private submit(job: DrawnJob, maxTasksPerTarget?: number): void {
    const steps = makeSteps(job.shape).map((step) => ({ ...step, maxTasksPerTarget }));
    this.jobs.submit(job, (jobId) => makeJob(jobId, steps));
  }

  private async apply(step: LostTaskStep): Promise<void> {
    switch (step.type) {
      case 'wait':
        await this.time.advance(step.forMs);
        return;
      case 'submit':
        this.submit(step.job);
        return;
      case 'silence':
        this.silence(step);
        return;
      case 'unlist':
        this.unlist(this.targets.pick(step.target));
        return;
      case 'list-again':
        this.targets.listAgain();
        return;
      case 'replace-target':
        this.crash(this.targets.pick(step.target), true);
        return;
      case 'replace-home':
        this.leaveHome(step.earlier);
        this.homes.openNext(step.readMs);
        return;
      case 'change-homes':
        await this.changeHomes(step.afterMs);
        return;
      case 'kill-homes':
        this.homes.close();
        await this.time.advance(step.nextAfterMs);
        this.homes.openNext(step.readMs);
        return;
      case 'freeze':
        this.homes.freeze();
        return;
      case 'thaw':
        this.homes.thaw();
        return;
      case 'cut-home':
        this.targets
          .pickAll(step.targets)
          .forEach((targetId) => this.homes.cutOff(targetId, this.nowMs + step.forMs));
        return;
      case 'drain':
        this.drains.replace(this.targets.pickAll(step.targets));
        return;
      case 'store':
        this.scene.setStore(step.condition);
        this.time.call(step.forMs, () => this.scene.setStore('well'));
        return;
      case 'fates':
        this.targets.port.addFates(this.targets.pick(step.target), step.call, step.fates);
        return;
      default:
        assertNever(step);
    }
  }

  private leaveHome(earlier: EarlierHome): void {
    switch (earlier) {
      case 'killed':
        this.homes.kill();
        return;
      case 'closes':
        this.homes.killLater(CLOSES_AFTER_MS);
        return;
      case 'goes-on':
        return;
      case 'frozen':
        this.homes.freeze();
        return;
      default:
        assertNever(earlier);
    }
  }

  /** Lets homes follow one another; each earlier one is gone. */
  private async changeHomes(afterMs: readonly number[]): Promise<void> {
    await afterMs.reduce(async (earlier, pauseMs) => {
      await earlier;
      await this.time.advance(pauseMs);
      this.homes.kill();
      this.homes.openNext();
    }, Promise.resolve());
  }

  private silence({ targets, how, forMs, entry }: SilenceStep): void {
    this.targets.pickAll(targets).forEach((targetId) => {
      this.changeEntry(targetId, entry);
      if (how === 'crashed') {
        this.crash(targetId, false);
        return;
      }
      this.setSilent(targetId, how);
      if (forMs !== undefined) this.time.call(forMs, () => this.reconnect(targetId));
    });
  }

  private changeEntry(targetId: string, fate: EntryFate): void {
    switch (fate.type) {
      case 'stays':
        return;
      case 'goes':
        this.time.call(fate.afterMs, () => this.unlist(targetId));
        return;
      case 'comes-back':
        this.time.call(fate.afterMs, () => {
          this.unlist(targetId);
          this.time.call(fate.awayMs, () => this.targets.list(targetId));
        });
        return;
      default:
        assertNever(fate);
    }
  }

  /** Takes a target off the list; in the calm, one that answers stays listed. */
  private unlist(targetId: string): void {
    const { entries, port } = this.targets;
    const answers = port.targetIds.includes(targetId) && !this.silent.has(targetId);
    if (!this.isCalm || !answers) entries.delete(targetId);
  }

  /** Ends a lifetime; another target is there at once. */
  private crash(targetId: string, isReplaced: boolean): void {
    this.silent.delete(targetId);
    this.targets.crash(targetId, isReplaced);
  }

  private setSilent(targetId: string, condition: TargetCondition): void {
    this.silent.set(targetId, condition);
    this.targets.port.setCondition(targetId, condition);
  }

  /** Lets a target answer again; in the calm, what is silent stays so. */
  private reconnect(targetId: string): void {
    if (this.isCalm || !this.silent.delete(targetId)) return;
    this.targets.port.setCondition(targetId, 'well');
  }

  /** Lifts what disturbs the homes, and waits until one works; silent targets stay silent. */
  private async calmDown(maxTasksPerTarget: number): Promise<void> {
    this.isCalm = true;
    this.liftedAtMs = this.nowMs;
    this.scene.setStore('well');
    this.drains.replace([]);
    this.homes.thaw();
    this.homes.reconnect();
    this.makeRoom(Math.ceil((SERVICE_TASK_COUNT + 1) / maxTasksPerTarget));
    if (this.homes.isDead) this.homes.openNext();
    const untilMs = this.nowMs + HOME_WITHIN_MS;
    while (this.homes.current === undefined && this.nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one look follows the other
      await this.time.advance(LOOK_EVERY_MS);
    }
  }

  /** Lifts all faults of targets that answer, and adds some until so many of them are listed. */
  private makeRoom(targetCount: number): void {
    const { port, entries } = this.targets;
    port.liftFaults();
    this.silent.forEach((condition, targetId) => port.setCondition(targetId, condition));
    const answering = port.targetIds.filter((targetId) => !this.silent.has(targetId));
    const usable = answering.filter((targetId) => entries.has(targetId));
    const missingCount = Math.max(0, targetCount - usable.length);
    Array.from({ length: missingCount }, () => this.targets.add());
  }

  /** Hands missing jobs in again, and reads the states that homes show. */
  private look(): void {
    if (this.isOver) return;
    this.jobs.submitMissing();
    this.jobs.look();
    this.time.call(LOOK_EVERY_MS, () => this.look());
  }

  private listViolations(calmAtMs: number): readonly string[] {
    const { current } = this.homes;
    if (current === undefined) return ['no home works'];
    // Lets the watch see the leases that have ended.
    this.targets.port.findRun('', '');
    const lost = listLostTasks({
      runs: this.watch.runs,
      tasks: this.jobs.listDueTasks(),
      liftedAtMs: this.liftedAtMs,
      calmAtMs,
      endAtMs: this.nowMs,
      leaseMs: PLATFORM_TIMING.targetLeaseMs,
    });
    return [
      ...this.jobs.listWrongRunsAndEnds(),
      ...this.jobs.listUnaccepted(),
      ...this.jobs.listUnknownTo(current),
      ...lost,
    ];
  }
}
