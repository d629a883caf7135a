import { describe, expect, it } from 'vitest';
import {
  beginJob,
  createJobRow,
  type DurableJobRow,
  endRun,
  isFinished,
  listPlacedTasks,
  placeTask,
} from '../../src/jobs/index.js';
import {
  type Admission,
  admitJob,
  ArrivalRate,
  ALL_MECHANISMS,
  disableMechanisms,
  type Mechanisms,
  type AdmitJobInput,
  orderJobs,
  type PlacementTarget,
  placeTasks,
  PoolBacklog,
  RunTimes,
} from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeEntry, makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

const TICK_MS = 50;
const RUN_MS = 500;
const DAY_MS = 30_000;
/** Four targets of four cores, which carry sixteen jobs of two half-second tasks each second. */
const TARGETS: readonly PlacementTarget[] = ['t1', 't2', 't3', 't4'].map((targetId) => ({
  ...makeEntry(targetId),
  takesTasks: true,
}));
const CAPACITY_MILLICORES = 16_000;
const OBJECTIVE_MS = TERMS.stretch * RUN_MS + TERMS.targetDurationMs;
const USEFUL_MS = 3 * OBJECTIVE_MS;
const MAX_REPEATS = 4;

interface Caller {
  readonly jobId: string;
  readonly organisation: string | undefined;
  readonly firstSentAtMs: number;
  readonly repeatCount: number;
  /** When the caller was first told that its job is done or refused. */
  readonly knowsAtMs?: number;
  readonly endedAtMs?: number;
}

type Admit = (input: AdmitJobInput) => Admission;
/** A way to meet the load: which jobs are accepted, and how they are ordered. */
interface Way {
  readonly admit: Admit;
  readonly mechanisms: Mechanisms;
}

/** Counts the jobs that arrive in a tick, by organisation; "all" has none. */
type CountArrivals = (nowMs: number) => Readonly<Record<string, number>>;

/** A pool and its callers, who come back when they are told to. */
class PressureWorld {
  readonly callers = new Map<string, Caller>();

  /** Work for jobs that ended too late to be of use, in core-seconds. */
  uselessWork = 0;

  private readonly admit: Admit;

  private readonly mechanisms: Mechanisms;

  private readonly runTimes = new RunTimes();

  private readonly clock = new ManualClock();

  private readonly arrivals = new ArrivalRate(this.clock);

  private readonly endsAtMs = new Map<string, number>();

  private readonly returnsAtMs = new Map<string, number>();

  private rows: readonly DurableJobRow[] = [];

  constructor({ admit, mechanisms }: Way) {
    this.admit = admit;
    this.mechanisms = mechanisms;
  }

  tick(nowMs: number, arrivals: Readonly<Record<string, number>>): void {
    const rows = this.rows.map((row) => this.finish(row, nowMs));
    rows.filter(isFinished).forEach((row) => this.noteEnd(row, nowMs));
    this.rows = rows.filter((row) => !isFinished(row));
    const returning = [...this.returnsAtMs].filter(([, atMs]) => atMs <= nowMs);
    returning.forEach(([jobId]) => this.returnsAtMs.delete(jobId));
    returning.forEach(([jobId]) => this.submit(this.callers.get(jobId)!, nowMs));
    Object.entries(arrivals).forEach(([organisation, count]) =>
      Array.from({ length: count }, (_none, index) => `${organisation}-${nowMs}-${index}`)
        .map((jobId): Caller => {
          const owner = organisation === 'all' ? undefined : organisation;
          return { jobId, organisation: owner, firstSentAtMs: nowMs, repeatCount: 0 };
        })
        .forEach((caller) => this.submit(caller, nowMs)),
    );
    this.place(nowMs);
    this.clock.advance(TICK_MS);
  }

  private submit(caller: Caller, nowMs: number): void {
    const { jobId, organisation } = caller;
    this.callers.set(jobId, caller);
    const spec = makeJob(jobId, [makeStep({ taskCount: 2, estimatedRunMs: RUN_MS })]);
    const row = createJobRow({ ...spec, organisation, submittedAtMs: nowMs });
    const { runTimes } = this;
    const backlog = new PoolBacklog(this.rows, { runTimes, nowMs, getWeight: () => 1 });
    this.arrivals.record(runTimes.estimateRemainingWork(row));
    const admission = this.admit({
      ...{ row, backlog, runTimes, nowMs },
      capacityCpuMillicores: CAPACITY_MILLICORES,
      arrivingCpuMillicores: this.arrivals.cpuMillicores,
    });
    if (admission.type === 'admitted') {
      this.rows = [...this.rows, row];
      return;
    }
    const repeatCount = caller.repeatCount + 1;
    this.callers.set(jobId, { ...caller, repeatCount, knowsAtMs: caller.knowsAtMs ?? nowMs });
    if (repeatCount <= MAX_REPEATS) this.returnsAtMs.set(jobId, admission.retryAtMs);
  }

  private noteEnd({ spec }: DurableJobRow, nowMs: number): void {
    const caller = this.callers.get(spec.jobId)!;
    const { knowsAtMs = nowMs } = caller;
    this.callers.set(spec.jobId, { ...caller, knowsAtMs, endedAtMs: nowMs });
    if (nowMs - spec.submittedAtMs > USEFUL_MS) this.uselessWork += 1;
  }

  private finish(row: DurableJobRow, nowMs: number): DurableJobRow {
    return listPlacedTasks(row).reduce((after, { position }) => {
      if (this.endsAtMs.get(`${row.spec.jobId}/${position}`)! > nowMs) return after;
      return endRun(after, position, { end: 'done', checkpoint: undefined }, nowMs);
    }, row);
  }

  private place(nowMs: number): void {
    const { mechanisms, runTimes, rows: allocatedJobs } = this;
    const placements = placeTasks({
      jobs: orderJobs(allocatedJobs, { runTimes, nowMs, allocatedJobs, mechanisms }),
      allocatedJobs,
      targets: TARGETS,
      getFailedTargets: () => new Set(),
      nowMs,
    });
    const rows = new Map(this.rows.map((row) => [row.spec.jobId, row]));
    placements.forEach(({ jobId, position, targetId }) => {
      this.endsAtMs.set(`${jobId}/${position}`, nowMs + RUN_MS);
      rows.set(jobId, beginJob(placeTask(rows.get(jobId)!, position, targetId)));
    });
    this.rows = [...rows.values()];
  }
}

/** As without admission: all is accepted, and in overload the newest jobs come first. */
const ACCEPT_ALL: Way = { admit: () => ({ type: 'admitted' }), mechanisms: ALL_MECHANISMS };

const BY_OBJECTIVE = disableMechanisms(['newest-first-in-overload']);

/** As the product does it: by the place that a job would get. */
const BY_PLACE: Way = { admit: admitJob, mechanisms: BY_OBJECTIVE };

/** The other way that was weighed: by the wait for all unfinished work, whoever it belongs to. */
const BY_WHOLE_BACKLOG: Way = {
  admit: ({ backlog, capacityCpuMillicores, nowMs }) => {
    const backlogWork = backlog.totalWork;
    const waitMs = backlogWork / capacityCpuMillicores;
    if (waitMs + RUN_MS <= USEFUL_MS) return { type: 'admitted' };
    const ends = { expectedEndAtMs: nowMs + waitMs, usefulUntilMs: nowMs + USEFUL_MS };
    return { type: 'refused', ...ends, backlogWork, retryAtMs: nowMs + waitMs };
  },
  mechanisms: BY_OBJECTIVE,
};

function play(way: Way, countArrivals: CountArrivals): PressureWorld {
  const world = new PressureWorld(way);
  const ticks = Array.from({ length: DAY_MS / TICK_MS }, (_none, index) => index * TICK_MS);
  ticks.forEach((nowMs) => world.tick(nowMs, countArrivals(nowMs)));
  return world;
}

/** What some of the callers got. */
interface Service {
  readonly shareInTime: number;
  readonly shareRefused: number;
  /** Mean time until a caller knows whether its job runs, in milliseconds. */
  readonly meanWaitMs: number;
}

function measure(
  { callers }: PressureWorld,
  isCounted: (caller: Caller) => boolean = () => true,
): Service {
  const counted = [...callers.values()].filter(isCounted);
  const getShare = (test: (caller: Caller) => boolean): number =>
    counted.filter(test).length / counted.length;
  const waitsMs = counted.map(({ knowsAtMs = DAY_MS, firstSentAtMs }) => knowsAtMs - firstSentAtMs);
  return {
    shareInTime: getShare(
      ({ endedAtMs = Infinity, firstSentAtMs }) => endedAtMs - firstSentAtMs <= OBJECTIVE_MS,
    ),
    shareRefused: getShare(({ repeatCount }) => repeatCount > 0),
    meanWaitMs: waitsMs.reduce((sum, waitMs) => sum + waitMs, 0) / waitsMs.length,
  };
}

/** Counts what arrives in a tick at an even rate. */
function countEven(nowMs: number, countPerSecond: number): number {
  const countUntil = (atMs: number): number => Math.floor((atMs * countPerSecond) / 1_000);
  return countUntil(nowMs + TICK_MS) - countUntil(nowMs);
}

describe('a burst of 2.5 times what a pool carries', () => {
  const isInBurst = (atMs: number): boolean => atMs >= 4_000 && atMs < 8_000;
  const countArrivals: CountArrivals = (nowMs) => ({
    all: countEven(nowMs, isInBurst(nowMs) ? 40 : 10),
  });
  const accepted = play(ACCEPT_ALL, countArrivals);
  const admitted = play(BY_PLACE, countArrivals);

  // Failure: each caller waits in vain, and the pool works on answers that nobody needs.
  it('serves no fewer callers in time, tells the others early, and works less in vain', () => {
    const [before, after] = [measure(accepted), measure(admitted)];
    expect(after.shareInTime).toBeGreaterThanOrEqual(before.shareInTime);
    expect(after.meanWaitMs).toBeLessThan(before.meanWaitMs / 2);
    expect(admitted.uselessWork).toBeLessThan(accepted.uselessWork / 3);
  });

  // Failure: refused callers come back together, and take the room of those who call later.
  it('serves the callers before and after the burst as if nobody had come back', () => {
    const isCalm = ({ firstSentAtMs }: Caller): boolean => !isInBurst(firstSentAtMs);
    const [before, after] = [measure(accepted, isCalm), measure(admitted, isCalm)];
    expect(after.shareInTime).toBeGreaterThanOrEqual(before.shareInTime);
    expect(after.shareRefused).toBe(0);
  });

  it('serves every refused caller in the end', () => {
    const refused = [...admitted.callers.values()].filter(({ repeatCount }) => repeatCount > 0);
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.filter(({ endedAtMs }) => endedAtMs === undefined)).toEqual([]);
  });
});

describe('one organisation at eight times its usual', () => {
  const CALM = ['water', 'housing', 'library', 'parks'];
  const USUAL = 2.4;
  const countArrivals: CountArrivals = (nowMs) => ({
    rushing: countEven(nowMs, nowMs >= 4_000 && nowMs < 14_000 ? 8 * USUAL : USUAL),
    ...Object.fromEntries(CALM.map((name) => [name, countEven(nowMs, USUAL)])),
  });
  const isCalm = ({ organisation }: Caller): boolean => organisation !== 'rushing';
  const isRushing = (caller: Caller): boolean => !isCalm(caller);

  // Failure: callers are refused for the load that another organisation brings.
  it('refuses only the callers of that organisation', () => {
    const accepted = play(ACCEPT_ALL, countArrivals);
    const admitted = play(BY_PLACE, countArrivals);
    const [before, after] = [measure(accepted, isCalm), measure(admitted, isCalm)];
    expect(after.shareRefused).toBe(0);
    expect(after.shareInTime).toBeGreaterThanOrEqual(before.shareInTime);
    expect(measure(admitted, isRushing).shareRefused).toBeGreaterThan(0);
    expect(measure(admitted, isRushing).shareInTime).toBeGreaterThanOrEqual(
      measure(accepted, isRushing).shareInTime,
    );
    expect(admitted.uselessWork).toBeLessThan(accepted.uselessWork);
  });

  it('would refuse the others too by the wait for all unfinished work', () => {
    const byWhole = play(BY_WHOLE_BACKLOG, countArrivals);
    const byPlace = play(BY_PLACE, countArrivals);
    expect(measure(byWhole, isCalm).shareRefused).toBeGreaterThan(0.2);
    expect(measure(byWhole, isCalm).shareInTime).toBeLessThan(measure(byPlace, isCalm).shareInTime);
  });
});
