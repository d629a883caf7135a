export {
  createJobRow,
  type DurableJobRow,
  isFinished,
  isLongRunning,
  listPlacedTasks,
  nameTask,
  type PositionedTask as PositionedTask,
} from './DurableJobRow.js';
export type {
  DurableJobSpec,
  DurableJobState,
  QueueTerms,
  Resources,
  Schedule,
  StepSpec,
} from './DurableJobSpec.js';
export {
  type EndedJob,
  type TrackedJob as TrackedJob,
  summarizeEndedJob as summarizeEndedJob,
} from './EndedJob.js';
export {
  decodeJobRecord,
  durableJobSpecSchema,
  encodeEndedJob,
  encodeJobProgress,
  encodeJobRemoval,
  encodeJobSpec,
  encodeSpecRemoval,
  type JobRecord,
} from './jobCodec.js';
export { durableJobStateSchema } from './durableJobStateSchema.js';
export { type JobProgress, restoreJobRow } from './jobProgress.js';
export {
  formatTaskName,
  parseTaskName,
  type TaskName,
  type TaskPhase,
  type TaskRow,
} from './TaskRow.js';
export {
  cancelJob,
  endRun,
  findTask,
  listOtherGangTasks as listOtherGangTasks,
  recordCrash as recordCrash,
  placeTask,
  type RunEnd,
  type CrashOutcome as CrashOutcome,
  unplaceTask,
} from './progressJob.js';
