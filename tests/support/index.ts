export { CallCounter } from './CallCounter.js';
export { type FleetShape, makeFleet } from './makeFleet.js';
export {
  endProcesses,
  type ProcessEnd,
  type ProcessOptions,
  startProcess,
  TestProcess,
} from './startProcess.js';
export { TcpForwarder } from './TcpForwarder.js';
export { findFreePort } from './findFreePort.js';
export { findReason } from './findReason.js';
export { holdUp } from './holdUp.js';
export { JOB_ORIGIN } from './jobOrigin.js';
