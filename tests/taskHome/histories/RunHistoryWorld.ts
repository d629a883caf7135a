import { assertNever } from '../../../src/utils/index.js';
import { EMPTY_SYNC_REQUEST, makeJob } from '../HomeWorld.js';
import type { Deal, HistoryHomes } from './HistoryHomes.js';
import type { HistoryJobs } from './HistoryJobs.js';
import { HistoryScene } from './HistoryScene.js';
import type { HistoryTargets, HistoryTargetsOptions } from './HistoryTargets.js';
import { type HistoryStep, makeSteps, type RunHistory } from './RunHistory.js';
import type { RunWatch } from './RunWatch.js';
import type { VirtualTime } from './VirtualTime.js';

const TARGET_COUNT = 2;
/** Time after which the entry of a silent target is gone, in milliseconds. */
const ENTRY_EXPIRES_MS = 1_500;
/** Interval at which the list of VMs is told and states are read, in milliseconds. */
const LOOK_EVERY_MS = 50;
/** How long the list of VMs shows a lifetime that is over, in milliseconds. */
const LISTED_AS_ENDED_MS = 10_000;
/** Time for the last steps to take effect, in milliseconds: a lost call and its repeats. */
const LAST_STEPS_MS = 400;
/** Time without faults within which every job has to end, in milliseconds. */
const SETTLES_WITHIN_MS = 40_000;
/** Time without faults after which a home has heard its targets, in milliseconds. */
const CALM_AFTER_MS = 4_000;
/** Age that a count of pending jobs may have, in milliseconds. */
const PENDING_MAX_AGE_MS = 2_000;
/** Time after the last end in which nothing may begin again, in milliseconds. */
const AFTERMATH_MS = 2_000;

/** Real homes on stand-ins, in virtual time, to which the steps of a history happen. */
export class RunHistoryWorld {
  readonly watch: RunWatch;

  private readonly time: VirtualTime;

  private readonly scene: HistoryScene;

  private readonly targets: HistoryTargets;

  private readonly homes: HistoryHomes;

  private readonly jobs: HistoryJobs;

  /** Lifetimes that are over and shown so by the list of VMs, with the time of their end. */
  private readonly endedTargets = new Map<string, number>();

  private isOver = false;

  /**
   * Creates a world with two targets and a home that opens.
   * @param time - Virtual time, which begins again.
   * @param targets - Clocks of the targets, and whether they can start again under their ids.
   */
  constructor(
    time: VirtualTime,
    targets: Pick<HistoryTargetsOptions, 'clockRates' | 'haveStarts'> = {},
  ) {
    this.time = time;
    this.scene = new HistoryScene({ time, targets: { count: TARGET_COUNT, ...targets } });
    this.watch = this.scene.watch;
    this.targets = this.scene.targets;
    this.homes = this.scene.homes;
    this.jobs = this.scene.jobs;
    this.look();
  }

  /**
   * Plays a history, lifts all faults, and waits for the jobs to end.
   * @param history - The history.
   * @returns What should not have happened, one sentence each.
   */
  async play(history: RunHistory): Promise<readonly string[]> {
    await this.time.advance(LOOK_EVERY_MS);
    await history.reduce(async (earlier, step) => {
      await earlier;
      await this.apply(step);
    }, Promise.resolve());
    await this.time.advance(LAST_STEPS_MS);
    await this.settle();
    this.isOver = true;
    this.homes.close();
    return this.jobs.listViolations();
  }

  /** Time since the beginning of the history, in milliseconds. */
  get nowMs(): number {
    return this.time.monotonicMs();
  }

  private async apply(step: HistoryStep): Promise<void> {
    switch (step.type) {
      case 'submit':
        this.jobs.submit(step.job, (jobId) => makeJob(jobId, makeSteps(step.job.shape)));
        return;
      case 'wait':
        await this.time.advance(step.forMs);
        return;
      case 'fates':
        this.targets.port.addFates(this.targets.pick(step.target), step.call, step.fates);
        return;
      case 'condition':
        this.targets.port.setCondition(this.targets.pick(step.target), step.condition);
        return;
      case 'store':
        this.scene.setStore(step.condition);
        return;
      case 'replace-home':
        if (step.earlier === 'killed') this.homes.kill();
        if (step.earlier === 'frozen') this.homes.freeze();
        this.homes.openNext();
        return;
      case 'deal':
        this.deal(this.targets.pick(step.target), step);
        return;
      case 'thaw':
        this.homes.thaw();
        return;
      case 'crash':
        this.crash(this.targets.pick(step.target), step.shownBy);
        return;
      case 'restart':
        this.restart(this.targets.pick(step.target), step.listedAfterMs);
        return;
      case 'unlist':
        this.targets.entries.delete(this.targets.pick(step.target));
        return;
      case 'list-again':
        this.targets.listAgain();
        return;
      default:
        assertNever(step);
    }
  }

  private deal(targetId: string, cut: Pick<Deal, 'confirmedBeforeMs' | 'forMs'>): void {
    const otherTargetIds = this.targets.port.targetIds.filter((otherId) => otherId !== targetId);
    this.homes.deal({ ...cut, targetId, otherTargetIds });
  }

  /** Ends a lifetime; another target is there at once. */
  private crash(targetId: string, shownBy: 'list' | 'next-lifetime' | 'nobody'): void {
    this.targets.crash(targetId, shownBy === 'next-lifetime');
    if (shownBy === 'list') this.endedTargets.set(targetId, this.nowMs);
    this.time.call(ENTRY_EXPIRES_MS, () => this.targets.entries.delete(targetId));
  }

  private restart(targetId: string, listedAfterMs: number): void {
    const nextId = this.targets.restart(targetId);
    this.time.call(listedAfterMs, () => {
      if (this.targets.port.targetIds.includes(nextId)) this.targets.list(nextId);
    });
  }

  /** Tells the home what the list of VMs shows, and reads the states that it shows. */
  private look(): void {
    if (this.isOver) return;
    const endedTargets = [...this.endedTargets]
      .filter(([, endedAtMs]) => this.nowMs < endedAtMs + LISTED_AS_ENDED_MS)
      .map(([targetId]) => targetId);
    const home = this.homes.current;
    if (endedTargets.length > 0) {
      home?.syncPool({ ...EMPTY_SYNC_REQUEST, endedTargets }).catch(() => undefined);
    }
    this.jobs.look();
    this.time.call(LOOK_EVERY_MS, () => this.look());
  }

  private async settle(): Promise<void> {
    this.targets.port.liftFaults();
    this.scene.setStore('well');
    this.homes.thaw();
    this.targets.listAgain();
    const untilMs = this.nowMs + SETTLES_WITHIN_MS;
    const calmFromMs = this.nowMs + CALM_AFTER_MS;
    while (!this.jobs.haveEnded && this.nowMs < untilMs) {
      this.jobs.submitMissing();
      // eslint-disable-next-line no-await-in-loop -- one look follows the other
      await this.time.advance(LOOK_EVERY_MS);
      if (this.nowMs > calmFromMs) this.jobs.checkCalmPending(this.nowMs - PENDING_MAX_AGE_MS);
    }
    await this.time.advance(AFTERMATH_MS);
  }
}
