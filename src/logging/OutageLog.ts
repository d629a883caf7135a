import type { EventName } from './EVENT_CATALOGUE.js';
import type { EventFields, EventLog } from './EventLog.js';

/** Options of {@link OutageLog}. */
export interface OutageLogOptions {
  readonly events: EventLog;
  /** Event of the first failure after a success. */
  readonly lost: EventName;
  /** Event of the first success after a failure; absent where nobody needs to know. */
  readonly regained?: EventName;
}

/** Tells once that a dependency is lost and once that it is back, however often it is tried. */
export class OutageLog {
  private readonly options: OutageLogOptions;

  private isLost = false;

  /**
   * Starts with the dependency in reach.
   * @param options - Where its loss and return are told.
   */
  constructor(options: OutageLogOptions) {
    this.options = options;
  }

  /** Whether the latest try failed. */
  get isOut(): boolean {
    return this.isLost;
  }

  /**
   * Takes note of a failure.
   * @param fields - Particulars of the line.
   */
  noteFailure(fields: EventFields): void {
    const { events, lost } = this.options;
    if (!this.isLost) events.write(lost, fields);
    this.isLost = true;
  }

  /**
   * Takes note of a success.
   * @param fields - Particulars of the line.
   */
  noteSuccess(fields: EventFields = {}): void {
    const { events, regained } = this.options;
    if (this.isLost && regained !== undefined) events.write(regained, fields);
    this.isLost = false;
  }
}
