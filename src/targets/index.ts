export { HttpTargetPort, type HttpTargetPortOptions } from './HttpTargetPort.js';
export type {
  TargetAddress,
  TargetPort,
  TargetStatus,
  TaskRequest,
  TaskResult,
} from './TargetPort.js';
export { TASK_HEADERS, TASK_OUTCOMES } from './taskHeaders.js';
export type {
  EndedTaskReport,
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  CommandAnswer,
  RunningTaskReport,
  StartAnswer,
  StartRefusal,
  TargetAnswer,
  TargetCall,
  TaskEnd,
  TaskStart,
} from './LeasedTargetPort.js';
export { callTarget } from './callTarget.js';
export {
  areOfSameTarget,
  formatLifetimeId,
  mayBeSameLifetime,
  parseLifetimeId,
  type TargetLifetime,
} from './lifetimeId.js';
