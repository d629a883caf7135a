export {
  endProcesses,
  ManagedProcess as TestProcess,
  type ProcessEnd,
  type ProcessOptions,
  startProcess,
} from '../../standins/processes/index.js';
