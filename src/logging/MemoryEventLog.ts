import type { EventName } from './EVENT_CATALOGUE.js';
import type { EventFields, EventLog } from './EventLog.js';

/** A line that {@link MemoryEventLog} has kept. */
export interface KeptEvent {
  readonly event: EventName;
  readonly fields: EventFields;
}

/** Log lines kept in memory, for replays and tests. */
export class MemoryEventLog implements EventLog {
  readonly events: KeptEvent[] = [];

  /** {@inheritDoc EventLog.write} */
  write(event: EventName, fields: EventFields = {}): void {
    this.events.push({ event, fields });
  }
}
