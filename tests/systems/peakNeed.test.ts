import { describe, expect, it } from 'vitest';
import {
  createJobRow,
  type DurableJobRow,
  endRun,
  isFinished,
  listPlacedTasks,
  placeTask,
  type StepSpec,
} from '../../src/jobs/index.js';
import {
  ArrivalRate,
  disableMechanisms,
  estimateNeededCpu,
  listReadyTasks,
  type Mechanism,
  RunTimes,
} from '../../src/systems/index.js';
import { ManualClock, SeededRng } from '../../src/utils/index.js';
import { makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

const TICK_MS = 50;
const PASS_MS = 300;
/** Time from the order of a VM to its first task, in milliseconds. */
const VM_LEAD_MS = 2_000;
const VM_MILLICORES = 64_000;
const RESERVE_COUNT = 11;
const RISE_MS = 2_500;
const PEAK_ENDS_AT_MS = 8_000;
const DAY_MS = 14_000;
/** Objective of a job: this many times its steps' time, and 600 ms. */
const STRETCH = 1.6;

interface Load {
  readonly steps: readonly StepSpec[];
  /** Jobs per second at the height of the peak, and before and after it. */
  readonly peakRate: number;
  readonly quietRate: number;
}

function makeSteps(count: number, runMs: number, cpuMillicores: number): readonly StepSpec[] {
  const demand = { cpuMillicores, memoryMb: 100, gpuCount: 0 };
  return Array.from({ length: count }, (_none, index) =>
    makeStep({
      taskCount: 8,
      estimatedRunMs: runMs,
      demand,
      afterSteps: index === 0 ? [] : [index - 1],
    }),
  );
}

const FEW_LARGE: Load = { steps: makeSteps(2, 1_400, 13_000), peakRate: 15, quietRate: 0.4 };
const MANY_SMALL: Load = { steps: makeSteps(1, 850, 6_200), peakRate: 90, quietRate: 2 };

function getRate({ peakRate, quietRate }: Load, nowMs: number): number {
  if (nowMs > PEAK_ENDS_AT_MS) return quietRate;
  return Math.max(quietRate, peakRate * Math.min(1, nowMs / RISE_MS));
}

/** A pool in a load peak, whose VMs are ordered by the estimate of its need. */
class PeakWorld {
  readonly runTimes = new RunTimes();

  usedMost = 0;

  lateCount = 0;

  /** Sum of the times by which jobs took longer than their steps, in milliseconds. */
  waitedMs = 0;

  jobCount = 0;

  /** Times at which VMs are up, in milliseconds. */
  readonly vmsUpAtMs: number[] = Array.from({ length: RESERVE_COUNT }, () => 0);

  private readonly load: Load;

  private readonly rng: SeededRng;

  private readonly clock = new ManualClock(0);

  private readonly arrivals = new ArrivalRate(this.clock);

  private readonly mechanisms;

  private readonly endsAtMs = new Map<string, number>();

  private rows: readonly DurableJobRow[] = [];

  constructor(load: Load, seed: number, off: readonly Mechanism[]) {
    this.load = load;
    this.rng = new SeededRng(seed);
    this.mechanisms = disableMechanisms(off);
  }

  tick(nowMs: number): void {
    this.clock.advance(TICK_MS);
    this.rows = this.rows.map((row) => this.finish(row, nowMs));
    this.rows.filter(isFinished).forEach((row) => this.count(row));
    this.rows = this.rows.filter((row) => !isFinished(row));
    this.arrive(nowMs);
    this.place(nowMs);
    if (nowMs % PASS_MS === 0) this.order(nowMs);
  }

  private count({ spec, finishedAtMs }: DurableJobRow): void {
    const wholeMs = spec.steps.reduce((sum, { estimatedRunMs }) => sum + estimatedRunMs, 0);
    const { stretch, targetDurationMs } = spec.terms;
    const tookMs = finishedAtMs! - spec.submittedAtMs;
    this.waitedMs += tookMs - wholeMs;
    if (tookMs > stretch * wholeMs + targetDurationMs) this.lateCount += 1;
  }

  private arrive(nowMs: number): void {
    const expected = (getRate(this.load, nowMs) * TICK_MS) / 1_000;
    // Several draws per tick, so that more than one job may arrive in it.
    const count = Array.from({ length: 8 }).filter(() => this.rng.next() < expected / 8).length;
    Array.from({ length: count }).forEach(() => {
      this.jobCount += 1;
      const job = makeJob(`j${this.jobCount}`, this.load.steps);
      const spec = { ...job, terms: { ...TERMS, stretch: STRETCH }, submittedAtMs: nowMs };
      const row = createJobRow(spec);
      this.arrivals.record(this.runTimes.estimateRemainingWork(row));
      this.rows = [...this.rows, row];
    });
  }

  private finish(row: DurableJobRow, nowMs: number): DurableJobRow {
    return listPlacedTasks(row).reduce((after, { position }) => {
      if (this.endsAtMs.get(`${row.spec.jobId}/${position}`)! > nowMs) return after;
      return endRun(after, position, { end: 'done', checkpoint: undefined }, nowMs);
    }, row);
  }

  private getUsedMillicores(): number {
    return this.rows
      .flatMap((row) => listPlacedTasks(row).map(({ task }) => row.spec.steps[task.step]!.demand))
      .reduce((sum, { cpuMillicores }) => sum + cpuMillicores, 0);
  }

  private getCapacityMillicores(nowMs: number): number {
    return this.vmsUpAtMs.filter((atMs) => atMs <= nowMs).length * VM_MILLICORES;
  }

  private place(nowMs: number): void {
    let freeMillicores = this.getCapacityMillicores(nowMs) - this.getUsedMillicores();
    this.rows = this.rows.map((row) =>
      listReadyTasks(row, nowMs)
        .flatMap(({ step, positions }) => positions.map((position) => ({ step, position })))
        .reduce((after, { step, position }) => {
          const { demand, estimatedRunMs } = row.spec.steps[step]!;
          if (demand.cpuMillicores > freeMillicores) return after;
          freeMillicores -= demand.cpuMillicores;
          this.endsAtMs.set(`${row.spec.jobId}/${position}`, nowMs + estimatedRunMs);
          return placeTask(after, position, 't1');
        }, row),
    );
    this.usedMost = Math.max(this.usedMost, this.getUsedMillicores() / VM_MILLICORES);
  }

  private order(nowMs: number): void {
    const { arrivals, mechanisms, rows, runTimes } = this;
    const { neededCpuMillicores } = estimateNeededCpu({
      rows,
      runTimes,
      capacityCpuMillicores: this.getCapacityMillicores(nowMs),
      arrivingCpuMillicores: arrivals.forecast(mechanisms),
      nowMs,
      mechanisms,
    });
    const missing = Math.ceil(neededCpuMillicores / VM_MILLICORES) - this.vmsUpAtMs.length;
    Array.from({ length: Math.min(32, Math.max(0, missing)) }).forEach(() => {
      this.vmsUpAtMs.push(nowMs + VM_LEAD_MS);
    });
  }
}

interface Outcome {
  /** VMs ordered for the peak and reserve, for each VM that was used at its height. */
  readonly orderedPerUsed: number;
  readonly orderedCount: number;
  readonly usedMost: number;
  readonly lateShare: number;
  /** Mean time by which a job took longer than its steps, in milliseconds. */
  readonly meanWaitMs: number;
}

function play(load: Load, off: readonly Mechanism[]): Outcome {
  const worlds = [1, 2, 3, 4, 5, 6].map((seed) => new PeakWorld(load, seed, off));
  const ticks = Array.from({ length: DAY_MS / TICK_MS }, (_none, index) => index * TICK_MS);
  worlds.forEach((world) => ticks.forEach((nowMs) => world.tick(nowMs)));
  const sum = (get: (world: PeakWorld) => number): number =>
    worlds.reduce((total, world) => total + get(world), 0);
  const orderedCount = sum(({ vmsUpAtMs }) => vmsUpAtMs.length) / worlds.length;
  const usedMost = sum((world) => world.usedMost) / worlds.length;
  return {
    orderedPerUsed: orderedCount / usedMost,
    orderedCount,
    usedMost,
    meanWaitMs: sum(({ waitedMs }) => waitedMs) / sum(({ jobCount }) => jobCount),
    lateShare: sum(({ lateCount }) => lateCount) / sum(({ jobCount }) => jobCount),
  };
}

describe('The need of a pool in a load peak', () => {
  it.each([
    ['few large jobs', FEW_LARGE],
    ['many small jobs', MANY_SMALL],
  ])('is met in time without VMs that nobody uses, for %s', (_name, load) => {
    const bounded = play(load, []);
    const unbounded = play(load, ['need-by-known-work']);
    expect(bounded.orderedPerUsed).toBeLessThan(1.7);
    expect(bounded.lateShare).toBeLessThan(0.02);
    expect(bounded.lateShare - unbounded.lateShare).toBeLessThan(0.005);
  });
});
