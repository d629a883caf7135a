export {
  endProcesses,
  ManagedProcess,
  type ProcessEnd,
  type ProcessOptions,
  startProcess,
} from '../../standins/processes/index.js';
export { TcpForwarder } from './TcpForwarder.js';
export { type FleetShape, makeFleet } from '../../standins/targets/index.js';
