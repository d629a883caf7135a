import { setTimeout as sleep } from 'node:timers/promises';
import type { DurableJobSpec } from '../../src/jobs/index.js';
import type { TargetEntry, TaskHome } from '../../src/taskHome/index.js';
import { holdBackOptimizer } from '../../src/utils/index.js';
import { readUsedUs } from '../slopes/readUsedUs.js';
import { HeldTargets } from './HeldTargets.js';
import { BENCH_POOL, BENCH_RUN_MS, makeBenchJob, makeBenchStep } from './makeBenchJob.js';
import { clock, openBenchHome } from './openBenchHome.js';

const TASKS_PER_STEP = 8;
const CORES_PER_TASK = 4.5;
const TARGET_MILLICORES = 32_000;
const TICK_EVERY_MS = 250;
const LOOK_EVERY_MS = 220;
const SPAN_MS = 8_000;
const MS_PER_S = 1_000;
const US_PER_MS = 1_000;
/** When the turn of the pool begins, and how long it lasts; its jobs are done within the span. */
const TURN_AFTER_MS = 2_000;
const TURN_MS = 2_000;
/** Targets that are being emptied while the others work. */
const DRAINED_COUNT = 4;

/** Processor of the instance that the home is on, in cores. */
const CORE_COUNT = 0.12;

/** What a home is given to do. */
interface Load {
  readonly targetCount: number;
  readonly jobsPerS: number;
  /** How many times the rate the jobs of the pool's turn come at; 1 for none. */
  readonly turnFactor: number;
}

holdBackOptimizer(CORE_COUNT);

function makeTarget(number: number): TargetEntry {
  return {
    targetId: `target-${number}`,
    pool: BENCH_POOL,
    host: '127.0.0.1',
    port: 1,
    dataCentre: 'north',
    rack: `rack-${number % DRAINED_COUNT}`,
    labels: [],
    capacity: { cpuMillicores: TARGET_MILLICORES, memoryMb: 131_072, gpuCount: 0 },
    isDraining: false,
  };
}

function makeJob(jobId: string): DurableJobSpec {
  const steps = [
    makeBenchStep(TASKS_PER_STEP, CORES_PER_TASK),
    makeBenchStep(TASKS_PER_STEP, CORES_PER_TASK, [0]),
  ];
  return makeBenchJob(jobId, steps, clock.wallMs());
}

/** Submits jobs at a steady rate, until the timer is cleared. */
function submitJobs(home: TaskHome, jobsPerS: number, prefix: string): NodeJS.Timeout | undefined {
  if (jobsPerS === 0) return undefined;
  let jobCount = 0;
  const submit = async (): Promise<void> => {
    jobCount += 1;
    await home.submit(makeJob(`${prefix}-${jobCount}`));
  };
  return setInterval(submit, MS_PER_S / jobsPerS);
}

/** Submits what comes beyond the steady rate while the turn of the pool lasts. */
async function submitTurn(home: TaskHome, { jobsPerS, turnFactor }: Load): Promise<void> {
  await sleep(TURN_AFTER_MS);
  const timer = submitJobs(home, jobsPerS * (turnFactor - 1), 'turn');
  await sleep(TURN_MS);
  clearInterval(timer);
}

/** Tells what the work of a home has cost. */
function describeCost(usedMs: number, startCount: number): string {
  const perS = `${((usedMs * MS_PER_S) / SPAN_MS).toFixed(1)} ms a second`;
  if (startCount === 0) return perS;
  return `${perS}, ${startCount} tasks, ${(usedMs / startCount).toFixed(3)} ms a placed task`;
}

/** Lets a home work for a while, and tells what that costs. */
async function measureHome(load: Load): Promise<string> {
  const { targetCount, jobsPerS, turnFactor } = load;
  const targets = new HeldTargets(clock, BENCH_RUN_MS);
  const list = Array.from({ length: targetCount }, (_t, number) => makeTarget(number));
  const entries = new Map(list.map((entry) => [entry.targetId, entry]));
  const home = await openBenchHome({ targets, entries });
  const lists = { endedTargets: [], crashedTargets: [], lostWithRack: [] };
  const drainedTargets = list.slice(0, DRAINED_COUNT).map(({ targetId }) => targetId);
  const sync = { pool: BENCH_POOL, drainedTargets, drainedForMs: 3_000, ...lists };
  const timers = [
    setInterval(() => home.tick(), TICK_EVERY_MS),
    setInterval(() => home.syncPool(sync), LOOK_EVERY_MS),
  ];
  home.tick();
  await sleep(MS_PER_S);
  const submitting = submitJobs(home, jobsPerS, 'job');
  if (turnFactor > 1) void submitTurn(home, load);
  const beforeUs = readUsedUs();
  await sleep(SPAN_MS);
  const usedMs = (readUsedUs() - beforeUs) / US_PER_MS;
  [...timers, submitting].forEach((timer) => clearInterval(timer));
  // A look at the pool that is under way would fail at a home that is closed.
  await sleep(MS_PER_S);
  home.close();
  const cost = describeCost(usedMs, targets.startCount);
  const turn = turnFactor > 1 ? `, ${turnFactor} times as many for ${TURN_MS / MS_PER_S} s` : '';
  return `${targetCount} targets, ${jobsPerS} jobs a second${turn}: ${cost}`;
}

// Idle, a rush that the targets carry, one of twice what they carry, and the turn of a pool.
const LOADS: readonly Load[] = [
  { targetCount: 50, jobsPerS: 0, turnFactor: 1 },
  { targetCount: 50, jobsPerS: 13, turnFactor: 1 },
  { targetCount: 25, jobsPerS: 13, turnFactor: 1 },
  { targetCount: 25, jobsPerS: 3, turnFactor: 5 },
];
await LOADS.reduce<Promise<void>>(async (before, load) => {
  await before;
  console.log(await measureHome(load));
}, Promise.resolve());
process.exit(0);
