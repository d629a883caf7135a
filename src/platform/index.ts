export type { LogEntry, LogPort, LogReadOptions, LogReadResult } from './LogPort.js';
export type { VmPort } from './VmPort.js';
