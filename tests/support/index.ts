export { type FleetShape, makeFleet } from './makeFleet.js';
export {
  endProcesses,
  ManagedProcess,
  type ProcessEnd,
  type ProcessOptions,
  startProcess,
} from '../../standins/processes/index.js';
export { TcpForwarder } from './TcpForwarder.js';
