export { BoundedLineWriter, type BoundedLineWriterOptions } from './BoundedLineWriter.js';
export { CountedEventLog, type CountedEventLogOptions } from './CountedEventLog.js';
export { EVENT_CATALOGUE, type EventName } from './EVENT_CATALOGUE.js';
export type { EventFields, EventLog } from './EventLog.js';
export type { LogEvent, LogLevel } from './LogEvent.js';
export { MemoryEventLog, type KeptEvent } from './MemoryEventLog.js';
export { OutageLog, type OutageLogOptions } from './OutageLog.js';
export { writeToDescriptor } from './writeToDescriptor.js';
export { JsonEventLog, type JsonEventLogOptions } from './JsonEventLog.js';
