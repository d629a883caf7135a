export { JobNode } from './JobNode.js';
export type {
  JobNodeBounds,
  JobNodeOptions,
  JobNodePorts,
  JobNodeRecords,
} from './JobNodeOptions.js';
