export { HttpLogPort, type HttpLogPortOptions } from './HttpLogPort.js';
export { HttpVmPort, type HttpVmPortOptions } from './HttpVmPort.js';
export type { LogEntry, LogPort, LogReadOptions, LogReadResult } from './LogPort.js';
export type { VmPort } from './VmPort.js';
