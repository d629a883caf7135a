import { createJobRow, type DurableJobRow } from '../../src/jobs/index.js';
import {
  orderJobs,
  type PlacementTarget,
  placeTasks,
  RunTimes,
  type TaskPlacement,
} from '../../src/systems/index.js';
import { measureCpuUs } from '../slopes/measureCpuUs.js';
import { BENCH_POOL, makeBenchJob, makeBenchStep } from './makeBenchJob.js';

const NOW_MS = 1_000_000;
const TASKS_PER_JOB = 10;
const TARGET_CORES = 32;
const CORE = 1_000;
const US_PER_MS = 1_000;

/** What a round of decisions costs. */
interface RoundCost {
  readonly placedCount: number;
  /** Processor time in microseconds. */
  readonly tookUs: number;
}

function makeJob(number: number, taskCount: number, cores: number): DurableJobRow {
  const steps = [makeBenchStep(taskCount, cores)];
  return createJobRow(makeBenchJob(`job-${number}`, steps, NOW_MS - number));
}

function makeTarget(number: number): PlacementTarget {
  return {
    targetId: `target-${number}`,
    pool: BENCH_POOL,
    rack: `rack-${number % 8}`,
    labels: [],
    capacity: { cpuMillicores: TARGET_CORES * CORE, memoryMb: 131_072, gpuCount: 0 },
    takesTasks: true,
  };
}

/** Jobs whose tasks occupy a share of every target. */
function makeOccupants(targetCount: number, share: number): readonly DurableJobRow[] {
  return Array.from({ length: targetCount }, (_t, number) => {
    const row = makeJob(-1 - number, Math.round(TARGET_CORES * share), 1);
    const tasks = row.tasks.map((task) => ({
      ...task,
      phase: 'placed' as const,
      run: 1,
      targetId: `target-${number}`,
    }));
    return { ...row, state: 'running' as const, tasks };
  });
}

/** Measures one round of decisions: order the jobs, and place what has room. */
function measureRound(targetCount: number, queuedCount: number, share: number): RoundCost {
  const targets = Array.from({ length: targetCount }, (_t, number) => makeTarget(number));
  const jobs = Array.from({ length: queuedCount / TASKS_PER_JOB }, (_j, number) =>
    makeJob(number, TASKS_PER_JOB, 2),
  );
  const occupants = [...makeOccupants(targetCount, share), ...jobs];
  const runTimes = new RunTimes();
  const none: ReadonlySet<string> = new Set();
  const decide = (): readonly TaskPlacement[] => {
    const ordered = orderJobs(jobs, { runTimes, nowMs: NOW_MS });
    return placeTasks({
      jobs: ordered,
      allocatedJobs: occupants,
      targets,
      getFailedTargets: () => none,
      nowMs: NOW_MS,
    });
  };
  return { placedCount: decide().length, tookUs: measureCpuUs(decide) };
}

const SHARE_IN_USE = 0.5;

[10, 60, 250, 1_000].forEach((targetCount) =>
  [100, 1_000, 10_000].forEach((queuedCount) => {
    const { placedCount, tookUs } = measureRound(targetCount, queuedCount, SHARE_IN_USE);
    console.log(
      `${targetCount} targets ${SHARE_IN_USE * 100} % full, ${queuedCount} queued tasks: ` +
        `${(tookUs / US_PER_MS).toFixed(2)} ms a round, ` +
        `${(tookUs / Math.max(1, placedCount)).toFixed(1)} us a placed task (${placedCount})`,
    );
  }),
);
