import { z } from 'zod';
import {
  countOccurrenceTasks,
  type DurableJobSpec,
  MAX_OCCURRENCE_TASKS,
  type QueueTerms,
} from '../jobs/index.js';
import { listOf } from '../utils/index.js';
import { parseJsonBody } from './parseJsonBody.js';

const count = z.int().nonnegative();

const stepSchema = z.strictObject({
  taskCount: z.int().positive(),
  demand: z
    .strictObject({
      cpuMillicores: count.default(0),
      memoryMb: count.default(0),
      gpuCount: count.default(0),
    })
    .prefault({}),
  estimatedRunMs: z.number().nonnegative().default(0),
  afterSteps: listOf(count).default([]),
  isCheckpointing: z.boolean().default(false),
  isGang: z.boolean().default(false),
  wantsSameRack: z.boolean().default(false),
  requiredLabel: z.string().min(1).optional(),
  dataRack: z.string().min(1).optional(),
  maxTasksPerTarget: z.int().positive().optional(),
  mayRunCopies: z.boolean().default(false),
  isLongRunning: z.boolean().default(false),
  image: z.string().optional(),
  latencyTargetMs: z.number().positive().optional(),
  isBestEffort: z.boolean().default(false),
  maxUnavailableCount: count.optional(),
});

const jobSchema = z.strictObject({
  payload: z.string().default(''),
  steps: listOf(stepSchema)
    .refine((steps) => steps.length > 0, { error: 'at least one step' })
    .refine(
      (steps) => steps.every(({ afterSteps }, step) => afterSteps.every((before) => before < step)),
      { error: 'a step may only come after earlier ones' },
    )
    .refine((steps) => countOccurrenceTasks({ steps }) <= MAX_OCCURRENCE_TASKS, {
      error: `\`taskCount\` of all steps together is at most ${MAX_OCCURRENCE_TASKS}`,
    }),
  schedule: z
    .strictObject({
      occurrenceCount: z.int().positive(),
      firstDueAtMs: z.number().nonnegative(),
      intervalMs: z.number().nonnegative(),
    })
    .optional(),
});

/** Where a submitted job comes from. */
export interface DurableJobOrigin {
  readonly jobId: string;
  readonly terms: QueueTerms;
  /** Organisation that submits it; undefined if the queue takes calls without a key. */
  readonly organisation?: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/**
 * Reads a durable job as callers submit it.
 * @param body - The body of the request.
 * @param origin - Its id, its queue and the time.
 * @returns The job.
 * @throws RattanliftError Of kind `bad-request` with the field at fault.
 */
export function parseDurableJob(body: Buffer, origin: DurableJobOrigin): DurableJobSpec {
  const { jobId, terms, organisation, nowMs: submittedAtMs } = origin;
  const owner = organisation === undefined ? {} : { organisation };
  return { jobId, terms, ...owner, submittedAtMs, ...parseJsonBody(jobSchema, body) };
}
