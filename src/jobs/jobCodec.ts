import { z } from 'zod';
import { decodeRecordValue, encodeRecordValue, type KeyedRecord } from '../store/index.js';
import { listOf } from '../utils/index.js';
import type { DurableJobRow } from './DurableJobRow.js';
import type { DurableJobSpec } from './DurableJobSpec.js';
import { durableJobStateSchema } from './durableJobStateSchema.js';
import type { EndedJob } from './EndedJob.js';
import { type JobProgress, packProgress, progressSchema } from './jobProgress.js';

const SPEC_PREFIX = 'spec/';
const PROGRESS_PREFIX = 'progress/';

const count = z.int().nonnegative();

const stepSchema = z.looseObject({
  taskCount: count,
  demand: z.looseObject({ cpuMillicores: count, memoryMb: count, gpuCount: count }),
  estimatedRunMs: z.number(),
  afterSteps: listOf(count),
  isCheckpointing: z.boolean(),
  isGang: z.boolean(),
  wantsSameRack: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxTasksPerTarget: count.optional(),
  mayRunCopies: z.boolean(),
  isLongRunning: z.boolean(),
  image: z.string().optional(),
  latencyTargetMs: z.number().optional(),
  isBestEffort: z.boolean(),
  maxUnavailableCount: count.optional(),
});

/** Schema of a job's specification in stored records and in messages between instances. */
export const durableJobSpecSchema = z.looseObject({
  jobId: z.string(),
  terms: z.looseObject({
    queue: z.string(),
    pool: z.string(),
    priority: z.number(),
    maxAttempts: count,
    stretch: z.number(),
    targetDurationMs: z.number(),
    address: z.string().optional(),
    configurationVersion: z.number().optional(),
  }),
  organisation: z.string().optional(),
  payload: z.string(),
  steps: listOf(stepSchema),
  schedule: z
    .looseObject({ occurrenceCount: count, firstDueAtMs: z.number(), intervalMs: z.number() })
    .optional(),
  submittedAtMs: z.number(),
});

/** Type of the progress record of a job that has ended and has no tasks on targets. */
const ENDED_TYPE = 'ended' as const;

const endedSchema = z.looseObject({
  type: z.literal(ENDED_TYPE),
  state: durableJobStateSchema.extract(['completed', 'failed', 'cancelled']),
  organisation: z.string().optional(),
  queue: z.looseObject({ queue: z.string(), address: z.string().optional() }).optional(),
});

const progressOrEndedSchema = z.union([
  endedSchema.transform(({ type, state, organisation, queue }) => ({
    type,
    ended: { state, organisation, queue },
  })),
  progressSchema.transform((progress) => ({ type: 'progress' as const, progress })),
]);

/** A decoded record of a job; its type follows from the record's key and value. */
export type JobRecord =
  | { readonly type: 'spec'; readonly jobId: string; readonly spec: DurableJobSpec }
  | { readonly type: 'progress'; readonly jobId: string; readonly progress: JobProgress }
  | { readonly type: 'ended'; readonly jobId: string; readonly ended: EndedJob }
  | { readonly type: 'other' };

/**
 * Encodes the specification of a job. The record is written once and removed when the job has
 * ended.
 * @param spec - The specification.
 * @returns The record.
 */
export function encodeJobSpec(spec: DurableJobSpec): KeyedRecord {
  return { key: `${SPEC_PREFIX}${spec.jobId}`, value: encodeRecordValue(spec) };
}

/**
 * Encodes the progress of a job.
 * @param row - The job.
 * @returns The record, which replaces the job's earlier progress record.
 */
export function encodeJobProgress(row: DurableJobRow): KeyedRecord {
  const key = `${PROGRESS_PREFIX}${row.spec.jobId}`;
  return { key, value: encodeRecordValue(packProgress(row)) };
}

/**
 * Encodes an ended job. The record replaces the job's progress record; the job's specification
 * can be removed with it.
 * @param ended - The ended job.
 * @returns The record.
 */
export function encodeEndedJob({ jobId, state, organisation, queue }: EndedJob): KeyedRecord {
  const owner = organisation === undefined ? {} : { organisation, queue };
  const value = encodeRecordValue({ type: ENDED_TYPE, state, ...owner });
  return { key: `${PROGRESS_PREFIX}${jobId}`, value };
}

/**
 * Encodes the removal of a job's specification.
 * @param jobId - Id of the job.
 * @returns The record of the specification's key, without a value.
 */
export function encodeSpecRemoval(jobId: string): KeyedRecord {
  return { key: `${SPEC_PREFIX}${jobId}`, value: undefined };
}

/**
 * Encodes the removal of all records of a job.
 * @param jobId - Id of the job.
 * @returns The records of the job's keys, without values.
 */
export function encodeJobRemoval(jobId: string): readonly KeyedRecord[] {
  return [{ key: `${PROGRESS_PREFIX}${jobId}`, value: undefined }, encodeSpecRemoval(jobId)];
}

/**
 * Decodes a record of a pool's partition.
 * @param record - The record.
 * @returns The decoded record; of type `other` if it has no value or its key is not that of a job.
 * @throws RattanliftError Of kind `internal` if the value does not match the key's schema.
 */
export function decodeJobRecord(record: KeyedRecord): JobRecord {
  const { key, value } = record;
  if (value === undefined) return { type: 'other' };
  if (key.startsWith(SPEC_PREFIX)) {
    const jobId = key.slice(SPEC_PREFIX.length);
    return { type: 'spec', jobId, spec: decodeRecordValue(durableJobSpecSchema, record) };
  }
  if (key.startsWith(PROGRESS_PREFIX)) {
    const jobId = key.slice(PROGRESS_PREFIX.length);
    const decoded = decodeRecordValue(progressOrEndedSchema, record);
    if (decoded.type === 'progress') return { ...decoded, jobId };
    const { type, ended } = decoded;
    return { type, jobId, ended: { jobId, ...ended } };
  }
  return { type: 'other' };
}
