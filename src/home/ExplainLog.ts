import type { Clock } from '../utils/index.js';

/** Options of {@link ExplainLog}. */
export interface ExplainLogOptions {
  readonly clock: Clock;
}

/** How many subjects are remembered; the oldest are forgotten first. */
const MAX_SUBJECT_COUNT = 5_000;
const MAX_LINE_COUNT = 20;

/** What was decided about each request of late, for operators who ask why. */
export class ExplainLog {
  private readonly options: ExplainLogOptions;

  private readonly lines = new Map<string, readonly string[]>();

  /**
   * Creates an empty log.
   * @param options - Clock for the times of the lines.
   */
  constructor(options: ExplainLogOptions) {
    this.options = options;
  }

  /**
   * Notes a decision.
   * @param subject - Request that it was about.
   * @param text - What was decided, and why.
   */
  note(subject: string, text: string): void {
    const at = new Date(this.options.clock.wallMs()).toISOString();
    const kept = this.lines.get(subject) ?? [];
    this.lines.delete(subject);
    this.lines.set(subject, [...kept, `${at} ${text}`].slice(-MAX_LINE_COUNT));
    if (this.lines.size <= MAX_SUBJECT_COUNT) return;
    const oldest = this.lines.keys().next().value;
    if (oldest !== undefined) this.lines.delete(oldest);
  }

  /**
   * Gets what was decided about a request.
   * @param subject - The request.
   * @returns Lines, the latest last.
   */
  get(subject: string): readonly string[] {
    return this.lines.get(subject) ?? [];
  }
}
