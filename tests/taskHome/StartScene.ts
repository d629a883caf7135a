import { setTimeout as sleep } from 'node:timers/promises';
import { vi } from 'vitest';
import type { DurableJobSpec, DurableJobState } from '../../src/jobs/index.js';
import type { TaskHome } from '../../src/taskHome/index.js';
import type { StartRefusal } from '../../src/targets/index.js';
import { EMPTY_SYNC_REQUEST, type HomeWorld } from './HomeWorld.js';

/** What has become of a job with one task. */
export interface SceneOutcome {
  readonly violations: readonly string[];
  readonly state: DurableJobState | undefined;
  readonly beginCount: number;
}

/** Longest wait for an event that has to come, in milliseconds. */
const PATIENCE = { timeout: 5_000, interval: 5 };
/** Wait for an event that may come or not, in milliseconds. */
const OPTIONAL_WAIT_MS = 300;
/** Time in which a home places tasks more than once, in milliseconds. */
const SEVERAL_ROUNDS_MS = 100;
/** Longer than any test. */
const DRAINED_FOR_MS = 600_000;

/** Steps of a play in which starts on the target `t1` are held up and refused. */
export class StartScene {
  private readonly world: HomeWorld;

  private current: TaskHome | undefined;

  /**
   * Creates a scene without a home.
   * @param world - Store and targets.
   */
  constructor(world: HomeWorld) {
    this.world = world;
  }

  /** The home at this moment. */
  get home(): TaskHome {
    return this.current!;
  }

  /**
   * Opens a home in the next term.
   * @param takers - The targets on which it may place tasks.
   */
  async open(takers: readonly string[]): Promise<void> {
    const { home, opening } = await this.world.claim();
    const opened = await opening.read(home.claimed);
    home.load(opened);
    this.current = home;
    // Takes effect before the first round, in this turn of the event loop.
    void this.placeOn(takers);
  }

  /** Kills the home. */
  kill(): void {
    this.world.kill(this.home);
  }

  /**
   * Sets on which targets tasks may be placed.
   * @param takers - The targets.
   * @returns Resolves once all changes so far are stored.
   */
  async placeOn(takers: readonly string[]): Promise<void> {
    const drainedTargets = [...this.world.entries.keys()].filter((id) => !takers.includes(id));
    const request = { ...EMPTY_SYNC_REQUEST, drainedTargets, drainedForMs: DRAINED_FOR_MS };
    await this.home.syncPool(request).catch(() => undefined);
  }

  /** Waits until both targets take tasks of the home. */
  async waitForTargets(): Promise<void> {
    await this.waitForFresh(this.world.entries.size);
  }

  /**
   * Waits until the home has handled a report of some targets.
   * @param count - How many.
   */
  async waitForFresh(count: number): Promise<void> {
    await this.until(() => this.home.leases.freshLeaseCount === count);
  }

  /**
   * Submits a job whose tasks are placed on `t1`, which holds up the first start of each. Reports
   * of `t1` are delayed from then on.
   * @param job - The job.
   */
  async submitHeld(job: DurableJobSpec): Promise<void> {
    const { targets } = this.world;
    const { taskCount } = job.steps[0]!;
    await this.open(['t1']);
    await this.waitForTargets();
    targets.setFaults('t1', { appliesFirstStartsLate: true });
    await this.delayReports();
    await this.home.submit(job);
    await this.until(() => targets.countLateStarts('t1') === taskCount);
    await this.placeOn([]);
  }

  /**
   * Lets the home repeat unanswered starts, which `t1` refuses.
   * @param reason - Why.
   * @param beforeRepeat - Called between the report that does not show the run, and the repeat.
   */
  async refuseRepeat(reason: StartRefusal, beforeRepeat?: () => void): Promise<void> {
    const { targets } = this.world;
    await this.passReport();
    targets.setFaults('t1', { refusesStarts: reason });
    beforeRepeat?.();
    const refusedCount = this.world.countEvents('startRefused');
    this.resumeReports();
    const isRefused = () => this.world.countEvents('startRefused') > refusedCount;
    // A target on which the run has begun meanwhile may take the repeat.
    await (beforeRepeat === undefined ? this.until(isRefused) : StartScene.mayCome(isRefused));
    await this.placeOn([]);
  }

  /** Holds the reports of `t1` up, from one that is made now. */
  async delayReports(): Promise<void> {
    const { targets } = this.world;
    targets.setFaults('t1', { delaysReports: true });
    await this.until(() => targets.countLateReports('t1') === 1);
  }

  /** Delivers the report of `t1` that is held up, and holds the next one up. */
  async passReport(): Promise<void> {
    const { targets } = this.world;
    targets.deliverLateReports('t1');
    await this.until(() => targets.countLateReports('t1') === 1);
  }

  /** Lets the reports of `t1` arrive at once again. */
  resumeReports(): void {
    this.world.targets.setFaults('t1', { delaysReports: false });
    this.world.targets.deliverLateReports('t1');
  }

  /**
   * Lets a task go to `t2` if the home takes it for one that waits.
   * @returns Resolves once it runs there, or after some rounds.
   */
  async tryElsewhere(): Promise<void> {
    await this.placeOn(['t2']);
    await StartScene.mayCome(() => this.world.targets.get('t2').runningNames.length > 0);
  }

  /**
   * Works without further faults until the job is over.
   * @param jobId - Id of the job.
   * @param end - How each further run ends.
   */
  async complete(jobId: string, end: 'done' | 'failed' = 'done'): Promise<void> {
    const { targets, entries } = this.world;
    entries.forEach((_entry, targetId) =>
      targets.setFaults(targetId, {
        appliesFirstStartsLate: false,
        delaysStarts: false,
        losesStartAnswers: false,
        refusesStarts: undefined,
        appliesStopsLate: false,
        stopsSlowly: false,
        ignoresAcknowledgements: false,
        isCutOff: false,
      }),
    );
    this.resumeReports();
    void this.placeOn([...entries.keys()]);
    await this.until(() => {
      targets.listRunning().forEach((taskName) => targets.finish(taskName, end));
      return ['completed', 'failed', 'cancelled'].includes(this.home.getState(jobId)!);
    });
    // A task that starts again although its job is over would show now.
    await sleep(SEVERAL_ROUNDS_MS);
  }

  /**
   * Describes what has become of a job.
   * @param jobId - Id of the job.
   * @returns Its state, how often its tasks have begun, and what was against the rules.
   */
  describe(jobId: string): SceneOutcome {
    const { violations, begun } = this.world.targets;
    const beginCount = begun.filter(({ taskName }) => taskName.startsWith(`${jobId}.`)).length;
    return { violations, state: this.home.getState(jobId), beginCount };
  }

  /**
   * Waits for something that has to come.
   * @param isReached - Whether it has come.
   */
  // eslint-disable-next-line class-methods-use-this -- reads as a step of the scene
  async until(isReached: () => boolean): Promise<void> {
    await vi.waitFor(() => {
      if (!isReached()) throw new Error(`Not reached: ${isReached.toString()}`);
    }, PATIENCE);
  }

  /**
   * Waits for something that may come or not.
   * @param isReached - Whether it has come.
   */
  static async mayCome(isReached: () => boolean): Promise<void> {
    const untilMs = performance.now() + OPTIONAL_WAIT_MS;
    while (!isReached() && performance.now() < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one look follows the other
      await sleep(2);
    }
  }
}
