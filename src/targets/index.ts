export type {
  TargetAddress,
  TargetPort,
  TargetStatus,
  TaskRequest,
  TaskResult,
} from './TargetPort.js';
