import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import { type DurableJobState, parseTaskName } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { SeededRng } from '../../src/utils/index.js';
import { JobsCluster } from '../../standins/jobs/index.js';
import { makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

/** By hand: `CRASH_SOAK_SEEDS=50 npx vitest run tests/jobNode/crashSoak.test.ts`. */
const SEED_COUNT = Number(process.env.CRASH_SOAK_SEEDS ?? 2);
const FIRST_SEED = Number(process.env.CRASH_SOAK_FIRST ?? 1);
const SEEDS = Array.from({ length: SEED_COUNT }, (_unused, place) => FIRST_SEED + place);

const DAY_MS = 8_000;
/** Time after which every job has the state that it should have, in milliseconds. */
const SETTLES_WITHIN_MS = 20_000;
const EVENT_EVERY_MS = 400;
const FINISH_EVERY_MS = 40;
/** Share of the running short tasks that end in each look: they last half a second on average. */
const END_SHARE = 0.08;
const CULPRIT_SHARE = 0.15;
/** Starts of one task from which the users count it as started too often. */
const STARTS_TOO_MANY = 6;
/** Targets that crash under a task before it may be given up, by the users' pages. */
const CRASHES_ALLOWED = 2;
const DEMAND = { cpuMillicores: 3_000, memoryMb: 2_000, gpuCount: 0 };
const VMS = Array.from({ length: 12 }, (_unused, place) => ({
  vm: `p${place}`,
  pool: 'pages',
  state: 'up' as const,
  targetId: `t-p${place}`,
  rack: `r${place % 3}`,
}));

function getJobId(taskName: string): string {
  return parseTaskName(taskName)!.jobId;
}

/** A day of jobs, some of which crash the targets that start them, and of other trouble. */
class CrashDay {
  readonly events = new MemoryEventLog();

  readonly culprits: string[] = [];

  readonly jobIds: string[] = [];

  /** Jobs whose tasks run until they are cancelled. */
  readonly lastingJobs = new Set<string>();

  private readonly rng: SeededRng;

  private readonly cluster: JobsCluster;

  private readonly finisher: NodeJS.Timeout;

  constructor(seed: number) {
    this.rng = new SeededRng(seed);
    this.cluster = new JobsCluster({
      configuration: {
        version: 1,
        queues: [{ host: 'wiki.example', pathPrefix: '/', terms: TERMS }],
        pools: [{ pool: 'pages', isStandby: false }],
      },
      vms: VMS,
      events: this.events,
      nodeCount: 3,
    });
    this.finisher = setInterval(() => this.finishSome(), FINISH_EVERY_MS);
  }

  get violations(): readonly string[] {
    return this.cluster.targets.violations;
  }

  async start(): Promise<void> {
    await this.cluster.start();
    const { nodes } = this.cluster;
    await vi.waitFor(() => expect(nodes.every(({ node }) => node.isReady)).toBe(true), 5_000);
  }

  async stop(): Promise<void> {
    clearInterval(this.finisher);
    await this.cluster.stop();
  }

  /** Jobs come, and with them a cut, the crash of a VM or the loss of a rack by turns. */
  async play(): Promise<void> {
    const endsAtMs = Date.now() + DAY_MS;
    while (Date.now() < endsAtMs) {
      // eslint-disable-next-line no-await-in-loop -- one event follows the other
      await this.submitOne();
      this.disturb();
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two events
      await sleep(EVENT_EVERY_MS * this.rng.next());
    }
  }

  countStarts(taskName: string): number {
    return this.cluster.targets.begun.filter((run) => run.taskName === taskName).length;
  }

  /**
   * Lists the jobs that are not in the state that they should have reached. One that was given up
   * after two targets had crashed under the same task by chance is in a state that it may have.
   */
  async listWrong(): Promise<readonly string[]> {
    const { gateway } = this.cluster.nodes[0]!.node;
    const ask = (jobId: string) => gateway.getState(TERMS, jobId).catch(() => undefined);
    const states = await Promise.all(this.jobIds.map(ask));
    return this.jobIds
      .filter((jobId, place) => states[place] !== this.getExpected(jobId))
      .filter((jobId) => !this.mayBeGivenUp(jobId));
  }

  /** Whether two targets have crashed under a task of a job that was given up for it. */
  private mayBeGivenUp(jobId: string): boolean {
    const ofJob = this.events.events.filter(({ fields }) => fields.jobId === jobId);
    const givenUp = ofJob.find(({ event }) => event === 'taskGivenUp')?.fields.taskName;
    const crashes = ofJob.filter(
      ({ event, fields }) =>
        event === 'runLost' &&
        fields.taskName === givenUp &&
        fields.reason === 'crashed' &&
        fields.isSent === true,
    );
    return crashes.length >= CRASHES_ALLOWED;
  }

  /** Tells what was lost of a job and why it was given up. */
  tellStory(jobId: string): readonly string[] {
    return this.events.events
      .filter(({ event }) => event === 'runLost' || event === 'taskGivenUp')
      .filter(({ fields }) => fields.jobId === jobId)
      .map(({ event, fields }) => `${event} ${JSON.stringify(fields)}`);
  }

  private getExpected(jobId: string): DurableJobState {
    if (this.culprits.some((taskName) => getJobId(taskName) === jobId)) {
      return 'failed';
    }
    return this.lastingJobs.has(jobId) ? 'running' : 'completed';
  }

  private draw(count: number): number {
    return Math.floor(this.rng.next() * count);
  }

  private async submitOne(): Promise<void> {
    const jobId = `job-${this.jobIds.length}`;
    const taskCount = 1 + this.draw(8);
    const isLongRunning = this.rng.next() < 0.2;
    if (this.rng.next() < CULPRIT_SHARE) {
      const taskName = `${jobId}.0.0.${this.draw(taskCount)}`;
      this.cluster.targets.crashingTasks.add(taskName);
      this.culprits.push(taskName);
    }
    this.jobIds.push(jobId);
    if (isLongRunning) this.lastingJobs.add(jobId);
    const entry = this.cluster.nodes[this.draw(3)]!;
    const job = makeJob(jobId, [makeStep({ taskCount, isLongRunning, demand: DEMAND })]);
    await vi.waitFor(() => entry.node.gateway.submit(job), 10_000);
  }

  private disturb(): void {
    const { fleet, nodes, targets } = this.cluster;
    const trouble = this.draw(12);
    if (trouble === 0) {
      const { storeAccess } = nodes[this.draw(3)]!;
      storeAccess.isCut = true;
      setTimeout(() => Object.assign(storeAccess, { isCut: false }), 2_500);
    }
    if (trouble === 1) {
      fleet
        .listTargets()
        .slice(0, 1)
        .forEach((id) => targets.crash(id));
    }
    if (trouble === 2) {
      const rack = `r${this.draw(3)}`;
      fleet.listTargets(rack).forEach((id) => targets.crash(id));
    }
  }

  private finishSome(): void {
    const { targets } = this.cluster;
    targets
      .listRunning()
      .filter((taskName) => !this.culprits.includes(taskName))
      .filter((taskName) => !this.isLongRunning(taskName) && this.rng.next() < END_SHARE)
      .forEach((taskName) => targets.finish(taskName, 'done'));
  }

  private isLongRunning(taskName: string): boolean {
    return this.lastingJobs.has(getJobId(taskName));
  }
}

describe.concurrent('a day of crashes', () => {
  it.for(SEEDS)('gives up the tasks that cause them, seed %i', async (seed, test) => {
    const day = new CrashDay(seed);
    await day.start();
    await day.play();
    await vi
      .waitFor(async () => expect(await day.listWrong()).toEqual([]), SETTLES_WITHIN_MS)
      .catch(() => undefined);
    const wrong = await day.listWrong();
    test.expect(wrong.map((jobId) => [jobId, ...day.tellStory(jobId)])).toEqual([]);
    const restless = day.culprits.filter((task) => day.countStarts(task) >= STARTS_TOO_MANY);
    test.expect(restless.map((task) => day.tellStory(getJobId(task)))).toEqual([]);
    test.expect(day.violations).toEqual([]);
    await day.stop();
  });
});
