export { ManagedProcess, type ProcessEnd, type ProcessOptions } from './ManagedProcess.js';
export { endProcesses, startProcess } from './startProcess.js';
