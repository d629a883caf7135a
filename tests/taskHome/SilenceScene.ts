import { setTimeout as sleep } from 'node:timers/promises';
import { expect, vi } from 'vitest';
import type { LeasedTarget } from '../../standins/leasedTargets/index.js';
import type { StepSpec } from '../../src/jobs/index.js';
import { assertNever } from '../../src/utils/index.js';
import type { TaskHome } from '../../src/taskHome/index.js';
import { HomeWorld, makeEntry, makeJob } from './HomeWorld.js';

/** How a target falls silent; nobody tells it apart from the others by the list of targets. */
export type Silence = 'cut off' | 'crashed' | 'unhealthy';

/** Long enough for several renewals by a home that has just been opened, in milliseconds. */
export const LEASE_MS = 2_000;
/** Id of the job whose tasks are lost. */
export const JOB_ID = 'a';
/** Longest watch after the end of the lease, in leases. */
const WATCHED_LEASES = 2.5;
/** Longest wait for something that has to come, in milliseconds. */
const PATIENCE_MS = 8_000;
const LOOK_EVERY_MS = 5;
/** Time in which a home places tasks more than once, in milliseconds. */
const SEVERAL_ROUNDS_MS = 100;

function nameTask(index: number): string {
  return `${JOB_ID}.0.0.${index}`;
}

/** Steps of a play in which one target of a pool falls silent with the tasks that it runs. */
export class SilenceScene {
  readonly world: HomeWorld;

  private home: TaskHome | undefined;

  private silentId: string | undefined;

  private silentTarget: LeasedTarget | undefined;

  private silentSinceMs = 0;

  private taskNames: readonly string[] = [];

  /**
   * Creates a scene without a home.
   * @param world - Store and targets.
   */
  constructor(world: HomeWorld) {
    this.world = world;
  }

  /** Id of the target that falls silent: the one that got the first task. */
  get targetId(): string {
    return this.silentId!;
  }

  /** The target that falls silent; its lease ends on the clock of the targets. */
  get target(): LeasedTarget {
    return this.silentTarget!;
  }

  /** Ids of the other targets. */
  get otherIds(): readonly string[] {
    return [...this.world.entries.keys()].filter((targetId) => targetId !== this.silentId);
  }

  /**
   * Opens a home, and waits until it renews the leases of all its targets.
   * @returns The home.
   */
  async open(): Promise<TaskHome> {
    const home = await this.world.open();
    this.home = home;
    await this.until(() => home.leases.freshLeaseCount === this.world.entries.size);
    return home;
  }

  /**
   * Lets the tasks of a step begin under the first home.
   * @param step - The step.
   */
  async run(step: StepSpec): Promise<void> {
    await this.open();
    await this.submit(step);
    await this.until(() => this.listRunning().length === step.taskCount);
    this.choose(this.world.targets.begun[0]!.targetId);
  }

  /**
   * Submits the job to the present home.
   * @param step - Its step.
   */
  async submit(step: StepSpec): Promise<void> {
    this.taskNames = Array.from({ length: step.taskCount }, (_, index) => nameTask(index));
    await this.home!.submit(makeJob(JOB_ID, [step]));
  }

  /**
   * Chooses the target that falls silent.
   * @param targetId - Id of the target.
   */
  choose(targetId: string): void {
    this.silentId = targetId;
    this.silentTarget = this.world.targets.get(targetId);
  }

  /**
   * Lets the target fall silent; no later renewal reaches it.
   * @param silence - How.
   */
  fallSilent(silence: Silence): void {
    const { targets } = this.world;
    this.noteSilence();
    switch (silence) {
      case 'cut off':
        targets.setFaults(this.targetId, { isCutOff: true });
        return;
      case 'crashed':
        targets.crash(this.targetId);
        return;
      case 'unhealthy':
        targets.setFaults(this.targetId, { isUnhealthy: true });
        return;
      default:
        assertNever(silence);
    }
  }

  /** Counts the silence from now on. */
  noteSilence(): void {
    this.silentSinceMs = this.nowMs;
  }

  /** Lets calls reach the target again. */
  comeBack(): void {
    this.world.targets.setFaults(this.targetId, { isCutOff: false, isUnhealthy: false });
    this.world.entries.set(this.targetId, makeEntry(this.targetId));
  }

  /** Ends the other members of a gang as the lease ends; targets do so without their home. */
  async breakGang(): Promise<void> {
    await this.waitSinceLapse(0);
    this.otherIds
      .map((targetId) => this.world.targets.get(targetId))
      .forEach((target) => target.runningNames.forEach((name) => target.end(name, 'gang-broken')));
  }

  /** Removes the target from the list of targets. */
  unlist(): void {
    this.world.entries.delete(this.targetId);
  }

  /**
   * Replaces the home by one in the next term, several times, from the beginning of the silence.
   * @param count - How many times.
   * @param everyLeases - Time before each change, in leases.
   */
  async changeHomes(count: number, everyLeases: number): Promise<void> {
    for (let index = 1; index <= count; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one home follows the other
      await this.waitSinceSilence(index * everyLeases);
      this.world.kill(this.home!);
      // eslint-disable-next-line no-await-in-loop -- one home follows the other
      this.home = await this.world.open();
    }
  }

  /**
   * Waits until some time after the silence began.
   * @param leases - The time, in leases.
   */
  async waitSinceSilence(leases: number): Promise<void> {
    await sleep(Math.max(0, this.silentSinceMs + leases * LEASE_MS - this.nowMs));
  }

  /**
   * Waits until some time after the end of the target's lease.
   * @param leases - The time, in leases.
   */
  async waitSinceLapse(leases: number): Promise<void> {
    await sleep(Math.max(0, this.target.leaseEndsAtMs + leases * LEASE_MS - this.nowMs));
  }

  /**
   * Waits until every task of the job runs on the other targets.
   * @returns The time from the end of the silent target's lease, by the clock of the targets, until
   * all of them were running, in leases; infinite if that doesn't come.
   */
  async measureReturn(): Promise<number> {
    const lapseAtMs = this.target.leaseEndsAtMs;
    const untilMs = lapseAtMs + WATCHED_LEASES * LEASE_MS;
    while (!this.runsElsewhere() && this.nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one look follows the other
      await sleep(LOOK_EVERY_MS);
    }
    if (!this.runsElsewhere()) return Number.POSITIVE_INFINITY;
    const leases = (this.nowMs - lapseAtMs) / LEASE_MS;
    // A second run would show now.
    await sleep(SEVERAL_ROUNDS_MS);
    return leases;
  }

  /** Counts the runs of the job that have begun, on any target. */
  countBegun(): number {
    const { begun } = this.world.targets;
    return begun.filter(({ taskName }) => taskName.startsWith(`${JOB_ID}.`)).length;
  }

  /** Lists the tasks of the job that run at this moment, on any target. */
  listRunning(): readonly string[] {
    return this.world.targets.listRunning().filter((name) => name.startsWith(`${JOB_ID}.`));
  }

  /**
   * Submits another job to the present home.
   * @param jobId - Id of the job.
   * @param step - Its step.
   */
  async submitOther(jobId: string, step: StepSpec): Promise<void> {
    await this.home!.submit(makeJob(jobId, [step]));
  }

  /**
   * Waits for something that has to come.
   * @param isReached - Whether it has come.
   */
  // eslint-disable-next-line class-methods-use-this -- reads as a step of the scene
  async until(isReached: () => boolean): Promise<void> {
    await vi.waitFor(
      () => {
        if (!isReached()) throw new Error(`Not reached: ${isReached.toString()}`);
      },
      { timeout: PATIENCE_MS, interval: LOOK_EVERY_MS },
    );
  }

  private get nowMs(): number {
    return this.world.targets.clock.monotonicMs();
  }

  private runsElsewhere(): boolean {
    const { targets } = this.world;
    const running = this.otherIds.flatMap((targetId) => targets.get(targetId).runningNames);
    return this.taskNames.every((taskName) => running.includes(taskName));
  }
}

/**
 * Plays on targets of its own, and checks at the end that no task ran twice.
 * @param targetIds - Ids of the targets.
 * @param play - The play.
 */
export async function playSilence(
  targetIds: readonly string[],
  play: (scene: SilenceScene) => Promise<void>,
): Promise<void> {
  const world = new HomeWorld(targetIds);
  world.leaseMs = LEASE_MS;
  try {
    await play(new SilenceScene(world));
    await sleep(SEVERAL_ROUNDS_MS);
  } finally {
    world.close();
  }
  expect(world.targets.violations).toEqual([]);
}
