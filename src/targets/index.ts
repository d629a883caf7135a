export { HttpTargetPort, type HttpTargetPortOptions } from './HttpTargetPort.js';
export type {
  TargetAddress,
  TargetPort,
  TargetStatus,
  TaskRequest,
  TaskResult,
} from './TargetPort.js';
export { TASK_HEADERS, TASK_OUTCOMES } from './taskHeaders.js';
