import type { EventFields, EventLog, EventName } from '../../src/logging/index.js';
import type { Clock } from '../../src/utils/index.js';

/** Events of the log that tell how a takeover goes. */
const TOLD_EVENTS: ReadonlySet<EventName> = new Set([
  'leasesTakenOver',
  'taskHomeOpened',
  'taskHomeOpenFailed',
  'taskHomeClosed',
  'targetListUnreachable',
  'groupUnreachable',
]);

/** When what has happened in a takeover, counted from the kill of the earlier home. */
export class TakeoverTrace implements EventLog {
  private readonly clock: Clock;

  private readonly timesMs = new Map<string, number[]>();

  private readonly lengthsMs = new Map<string, number[]>();

  private beganAtMs = 0;

  /**
   * Creates a trace that has not begun.
   * @param clock - Its clock, which is that of the targets.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Time since the trace began, in milliseconds. */
  get elapsedMs(): number {
    return this.clock.monotonicMs() - this.beganAtMs;
  }

  /** Begins the trace; what was noted before is dropped. */
  begin(): void {
    this.timesMs.clear();
    this.beganAtMs = this.clock.monotonicMs();
  }

  /**
   * Notes that something has happened.
   * @param what - What has happened.
   * @param atMs - When it has, by the monotonic clock; now if absent.
   */
  note(what: string, atMs: number = this.clock.monotonicMs()): void {
    this.timesMs.set(what, [...(this.timesMs.get(what) ?? []), Math.round(atMs - this.beganAtMs)]);
  }

  /**
   * Notes how long something has taken.
   * @param what - What it is.
   * @param tookMs - How long it has taken.
   */
  noteLength(what: string, tookMs: number): void {
    this.lengthsMs.set(what, [...(this.lengthsMs.get(what) ?? []), Math.round(tookMs)]);
  }

  /** {@inheritDoc EventLog.write} */
  write(event: EventName, fields: EventFields = {}): void {
    const partition = fields.partition === undefined ? '' : ` ${String(fields.partition)}`;
    if (TOLD_EVENTS.has(event)) this.note(`${event}${partition}`);
  }

  /**
   * Tells whether something has happened.
   * @param what - What it is.
   * @returns Whether it was noted since the trace began.
   */
  has(what: string): boolean {
    return this.timesMs.has(what);
  }

  /**
   * Tells how often something has happened in the partition where it has happened most often.
   * @param event - The event.
   * @returns How often it was noted since the trace began; 0 if it was not.
   */
  getHighestCount(event: EventName): number {
    const ofEvent = [...this.timesMs].filter(([what]) => what.startsWith(`${event} `));
    return Math.max(0, ...ofEvent.map(([, times]) => times.length));
  }

  /**
   * Tells the story.
   * @returns One line: of each kind its first and last time and its count, in milliseconds.
   */
  tell(): string {
    const told = [...this.timesMs].map(([what, times]) => {
      const last = times.length > 1 ? `..${Math.max(...times)} (${times.length})` : '';
      return `${what} +${Math.min(...times)}${last}`;
    });
    const lengths = [...this.lengthsMs].map(
      ([what, took]) => `${what} after ${Math.min(...took)}..${Math.max(...took)} (${took.length})`,
    );
    return [...told, ...lengths, `longest pause of joins ${this.getLongestPauseMs('join')}`].join(
      '; ',
    );
  }

  private getLongestPauseMs(what: string): number {
    const times = this.timesMs.get(what) ?? [];
    return Math.max(0, ...times.slice(1).map((atMs, place) => atMs - times[place]!));
  }
}
