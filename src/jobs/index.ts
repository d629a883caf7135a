export type { CallerIdentity } from './CallerIdentity.js';
export {
  createJobRow,
  type DurableJobRow,
  isFinished,
  isLongRunning,
  listPlacedTasks,
  nameTask,
  type PositionedTask,
} from './DurableJobRow.js';
export {
  type DurableJobSpec,
  type DurableJobState,
  getQueueReference,
  type QueueReference,
  type QueueTerms,
  type Resources,
  type Schedule,
  type StepSpec,
} from './DurableJobSpec.js';
export {
  type EndedJob,
  isVisibleTo,
  type JobCaller,
  summarizeEndedJob,
  type TrackedJob,
} from './EndedJob.js';
export { isSameQueue, type QueueIdentity } from './QueueIdentity.js';
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
export { countLateFailure, isUnheardRun, noteUnheardRun } from './lateFailures.js';
export type { PoolSearch } from './PoolSearch.js';
export {
  advanceOccurrences,
  countOccurrenceTasks,
  getOccurrenceCount,
  isDue,
  MAX_OCCURRENCE_TASKS,
} from './occurrences.js';
export {
  addResources,
  isEmptyResources,
  mapResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type ResourceName,
} from './resources.js';
export {
  formatTaskName,
  parseTaskName,
  type TaskName,
  type TaskPhase,
  type TaskRow,
} from './TaskRow.js';
export {
  beginJob,
  cancelJob,
  endRun,
  findTask,
  listOtherGangTasks,
  recordCrash,
  placeTask,
  type RunEnd,
  type CrashOutcome,
  unplaceTask,
} from './progressJob.js';
