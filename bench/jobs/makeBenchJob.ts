import type { DurableJobSpec, StepSpec } from '../../src/jobs/index.js';

/** The one pool of the jobs here. */
export const BENCH_POOL = 'pages';
/** How long a task runs, in milliseconds. */
export const BENCH_RUN_MS = 800;
const MILLICORES_PER_CORE = 1_000;

/**
 * Makes a step of plain tasks.
 * @param taskCount - Count of its tasks.
 * @param cores - Processor of each, in cores.
 * @param afterSteps - Indexes of the steps before it.
 * @returns The step.
 */
export function makeBenchStep(
  taskCount: number,
  cores: number,
  afterSteps: readonly number[] = [],
): StepSpec {
  return {
    taskCount,
    demand: { cpuMillicores: cores * MILLICORES_PER_CORE, memoryMb: 1_000, gpuCount: 0 },
    estimatedRunMs: BENCH_RUN_MS,
    afterSteps,
    isCheckpointing: false,
    isGang: false,
    wantsSameRack: false,
    mayRunCopies: false,
    isLongRunning: false,
    isBestEffort: false,
  };
}

/**
 * Makes a job.
 * @param jobId - Its id.
 * @param steps - Its steps.
 * @param submittedAtMs - When it was submitted, in milliseconds since the Unix epoch.
 * @returns The job.
 */
export function makeBenchJob(
  jobId: string,
  steps: readonly StepSpec[],
  submittedAtMs: number,
): DurableJobSpec {
  return {
    jobId,
    terms: {
      queue: 'saves',
      pool: BENCH_POOL,
      priority: 0,
      maxAttempts: 4,
      stretch: 1.6,
      targetDurationMs: 600,
    },
    payload: '',
    steps,
    submittedAtMs,
  };
}
