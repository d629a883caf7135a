import {
  beginJob,
  createJobRow,
  type DurableJobRow,
  endRun,
  isFinished,
  nameTask,
  placeTask,
  type RunEnd,
} from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import {
  disableMechanisms,
  type Mechanism,
  type Mechanisms,
  mayRunProbe,
  orderJobs,
  type PlacementTarget,
  placeTasks,
  RunTimes,
} from '../../src/systems/index.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { LateRunRestarts } from '../../src/taskHome/LateRunRestarts.js';
import type { RunKey } from '../../src/taskHome/RunKey.js';
import { TargetHealth } from '../../src/taskHome/TargetHealth.js';
import { UnevenTargets } from '../../src/taskHome/UnevenTargets.js';
import type { RunningTaskReport } from '../../src/targets/index.js';
import { ManualClock, SeededRng } from '../../src/utils/index.js';
import { makeEntry, makeJob, makeStep, TERMS } from './HomeWorld.js';

/** What a test plays. */
export interface UnevenLoad {
  readonly targetCount: number;
  /** Speed of a target, 1 where it is sound. */
  readonly getSpeed: (index: number, nowMs: number) => number;
  /** Share of the runs that a target fails. */
  readonly getFailedShare: (index: number, nowMs: number) => number;
  /** A job arrives in this interval. */
  readonly intervalMs: number;
  readonly forMs: number;
  readonly off: readonly Mechanism[];
  readonly seed: number;
  /** Whether reports leave running tasks out, so that only ends tell of a target. */
  readonly showsOnlyEnds?: boolean;
  /** Jobs that fail wherever they run: each so many-th; none if absent. */
  readonly hopelessEach?: number;
}

interface Run {
  readonly key: RunKey;
  readonly workMs: number;
  readonly failsAtMs: number;
  doneMs: number;
  stopsAtMs: number;
}

const TICK_MS = 50;
const REPORT_INTERVAL_MS = 1_000;
const STOP_MS = 200;
const TASK_COUNT = 8;
const RUN_MS = 1_000;
/** Tasks of one step differ by a third, estimates by half. */
const TASK_SPREAD = 1 / 3;
const ESTIMATE_SPREAD = 1 / 2;
const PERCENT = 100;
/** Time at the end without new jobs, in which the last ones end. */
const REST_MS = 5_000;
const STRETCH = 1.6;

/** A pool whose targets run unevenly, and its callers: no network, in steps of 50 ms. */
export class UnevenWorld {
  readonly events = new MemoryEventLog();

  readonly metrics = new MemoryMetrics();

  /** Number of runs that ended with a failure. */
  failedRunCount = 0;

  private readonly clock = new ManualClock();

  private readonly table = new JobTable(this.clock);

  private readonly rng: SeededRng;

  private readonly runTimes = new RunTimes();

  private readonly runs = new Map<string, Run>();

  private readonly entries: ReadonlyMap<string, ReturnType<typeof makeEntry>>;

  private readonly targets: readonly PlacementTarget[];

  private readonly mechanisms: Mechanisms;

  private readonly uneven: UnevenTargets;

  private readonly health: TargetHealth;

  private readonly restarts: LateRunRestarts;

  private readonly reportedAtMs = new Map<string, number>();

  private readonly meanMsByJob = new Map<string, number>();

  private readonly tookShares: number[] = [];

  private submittedCount = 0;

  constructor(private readonly load: UnevenLoad) {
    const { clock, table, runTimes, events, metrics } = this;
    this.rng = new SeededRng(load.seed);
    const ids = Array.from({ length: load.targetCount }, (_none, index) => `t${index}`);
    this.entries = new Map(ids.map((id) => [id, makeEntry(id)]));
    this.targets = ids.map((id) => ({ ...makeEntry(id), takesTasks: true }));
    this.mechanisms = disableMechanisms(load.off);
    const getEntries = (): typeof this.entries => this.entries;
    const common = { table, runTimes, events, metrics, clock, mechanisms: this.mechanisms };
    this.uneven = new UnevenTargets({ ...common, getEntries });
    this.health = new TargetHealth({ clock, events });
    this.restarts = new LateRunRestarts({
      ...common,
      uneven: this.uneven,
      orders: { isStopping: (name) => (this.runs.get(name)?.stopsAtMs ?? Infinity) < Infinity },
      stopper: { stopForRestart: (name) => this.stop(name) },
      getSessions: () => ({ listForPlacement: () => this.targets }),
      isAvoided: () => false,
      isGroupLeaseHeld: () => true,
    });
  }

  /** Plays the load, and returns the share of jobs that ended within their objective. */
  play(): number {
    const ticks = Array.from({ length: this.load.forMs / TICK_MS });
    ticks.forEach(() => this.tick());
    return this.tookShares.filter((share) => share <= 1).length / this.submittedCount;
  }

  countEvents(event: string): number {
    return this.events.events.filter((kept) => kept.event === event).length;
  }

  listUneven(): readonly unknown[] {
    const found = this.events.events.filter(({ event }) => event === 'targetUneven');
    return found.map(({ fields }) => fields.targetId);
  }

  /** Lists the targets that do not get all tasks at this moment. */
  listAvoided(): readonly string[] {
    return [...this.entries.keys()].filter((id) => this.uneven.getIntake(id) !== 'all');
  }

  private get nowMs(): number {
    return this.clock.monotonicMs();
  }

  private tick(): void {
    this.clock.advance(TICK_MS);
    const isOpen = this.nowMs < this.load.forMs - REST_MS;
    if (isOpen && this.nowMs % this.load.intervalMs < TICK_MS) this.submit();
    [...this.entries.keys()].forEach((targetId, index) => this.work(targetId, index));
    this.uneven.check();
    this.place();
  }

  private spread(share: number): number {
    return 1 + (2 * this.rng.next() - 1) * share;
  }

  private submit(): void {
    this.submittedCount += 1;
    const isHopeless = this.submittedCount % (this.load.hopelessEach ?? Infinity) === 0;
    const jobId = `${isHopeless ? 'hopeless' : 'job'}${this.submittedCount}`;
    const estimatedRunMs = RUN_MS;
    const meanMs = RUN_MS * this.spread(ESTIMATE_SPREAD);
    this.meanMsByJob.set(jobId, meanMs);
    const spec = makeJob(jobId, [makeStep({ taskCount: TASK_COUNT, estimatedRunMs })]);
    const terms = { ...TERMS, stretch: STRETCH, maxAttempts: 3 };
    this.table.add(createJobRow({ ...spec, terms, submittedAtMs: this.nowMs }));
  }

  private place(): void {
    const { mechanisms, nowMs, runTimes, table } = this;
    const allocatedJobs = table.listActive();
    placeTasks({
      jobs: orderJobs(allocatedJobs, { runTimes, mechanisms, nowMs, allocatedJobs }),
      allocatedJobs,
      targets: this.targets.map((target) => ({
        ...target,
        takesTasks: !this.health.isAvoided(target.targetId),
        intake: this.uneven.getIntake(target.targetId),
      })),
      mayProbe: (row) => mayRunProbe(row, runTimes, nowMs),
      getFailedTargets: () => new Set(),
      nowMs,
      mechanisms,
    }).forEach(({ jobId, position, targetId }) => this.start(jobId, position, targetId));
  }

  private start(jobId: string, position: number, targetId: string): void {
    const row = beginJob(placeTask(this.table.getActive(jobId)!, position, targetId));
    this.table.put(row);
    const task = row.tasks[position]!;
    const key = { taskName: nameTask(row, task), run: task.run, targetId };
    const workMs = this.meanMsByJob.get(jobId)! * this.spread(TASK_SPREAD);
    const failedShare = this.load.getFailedShare(Number(targetId.slice(1)), this.nowMs);
    const fails = jobId.startsWith('hopeless') || this.rng.next() < failedShare;
    const failsAtMs = fails ? workMs * this.rng.next() : Infinity;
    this.runs.set(key.taskName, { key, workMs, failsAtMs, doneMs: 0, stopsAtMs: Infinity });
    this.uneven.paces.noteStarted(key, this.nowMs);
  }

  private stop(taskName: string): void {
    this.runs.get(taskName)!.stopsAtMs = this.nowMs + STOP_MS;
  }

  private work(targetId: string, index: number): void {
    const { nowMs } = this;
    const runs = [...this.runs.values()].filter(({ key }) => key.targetId === targetId);
    const doneMs = TICK_MS * this.load.getSpeed(index, nowMs);
    runs.forEach((run) => Object.assign(run, { doneMs: run.doneMs + doneMs }));
    const ended = runs.filter((run) => this.findEnd(run) !== undefined);
    const isDue = nowMs - (this.reportedAtMs.get(targetId) ?? 0) >= REPORT_INTERVAL_MS;
    if (ended.length === 0 && !isDue) return;
    this.reportedAtMs.set(targetId, nowMs);
    this.uneven.paces.noteClock(targetId, nowMs);
    ended.forEach((run) => this.end(run));
    this.report(targetId);
  }

  private report(targetId: string): void {
    const { nowMs } = this;
    const left = [...this.runs.values()].filter(({ key }) => key.targetId === targetId);
    const running = left.map(({ key, doneMs, workMs }): RunningTaskReport => ({
      taskName: key.taskName,
      run: key.run,
      progressPercent: Math.floor((PERCENT * doneMs) / workMs),
    }));
    const answer = {
      type: 'report' as const,
      targetClockMs: nowMs,
      running: this.load.showsOnlyEnds === true ? [] : running,
      ended: [],
      hasAllEnds: true,
    };
    this.uneven.noteReport(targetId, { answer });
    this.restarts.check(targetId, { answer, askedAtMs: nowMs });
  }

  private findEnd({ workMs, failsAtMs, doneMs, stopsAtMs }: Run): RunEnd['end'] | undefined {
    if (doneMs >= failsAtMs) return 'failed';
    if (doneMs >= workMs) return 'done';
    return this.nowMs >= stopsAtMs ? 'stopped' : undefined;
  }

  private end(run: Run): void {
    const { key } = run;
    const end = this.findEnd(run)!;
    this.runs.delete(key.taskName);
    const found = this.table.findPlaced(key);
    if (found === undefined) return;
    this.uneven.noteEnd(key, found.row, end);
    if (end === 'done') this.health.noteSuccess(key.targetId);
    if (end === 'failed') this.noteFailure(key);
    const row = endRun(found.row, found.position, { end, checkpoint: undefined }, this.nowMs);
    this.table.put(row);
    if (isFinished(row)) this.noteFinished(row);
  }

  private noteFailure({ targetId, taskName }: RunKey): void {
    this.failedRunCount += 1;
    this.health.noteFailure(targetId, taskName.split('.')[0]!, taskName);
  }

  private noteFinished({ spec, state }: DurableJobRow): void {
    if (state !== 'completed') return;
    const { stretch, targetDurationMs } = spec.terms;
    const chainMs = this.meanMsByJob.get(spec.jobId)! * (1 + TASK_SPREAD);
    const objectiveMs = stretch * chainMs + targetDurationMs;
    this.tookShares.push((this.nowMs - spec.submittedAtMs) / objectiveMs);
  }
}
