import type { Clock } from '../utils/index.js';

/** Options of {@link ExplainLog}. */
export interface ExplainLogOptions {
  readonly clock: Clock;
}

/** Maximum number of subjects; the least recently updated one is removed first. */
const MAX_SUBJECT_COUNT = 5_000;
const MAX_LINE_COUNT = 20;

/** Keeps the latest decisions about each request, so that operators can see the reasons. */
export class ExplainLog {
  private readonly options: ExplainLogOptions;

  private readonly lines = new Map<string, readonly string[]>();

  /**
   * Creates an empty log.
   * @param options - Clock for the timestamps.
   */
  constructor(options: ExplainLogOptions) {
    this.options = options;
  }

  /**
   * Records a decision.
   * @param subject - Id of the request.
   * @param text - The decision and its reason.
   */
  note(subject: string, text: string): void {
    const at = new Date(this.options.clock.wallMs()).toISOString();
    const previousLines = this.lines.get(subject) ?? [];
    this.lines.delete(subject);
    this.lines.set(subject, [...previousLines, `${at} ${text}`].slice(-MAX_LINE_COUNT));
    if (this.lines.size <= MAX_SUBJECT_COUNT) return;
    const oldest = this.lines.keys().next().value;
    if (oldest !== undefined) this.lines.delete(oldest);
  }

  /**
   * Gets the decisions about a request.
   * @param subject - Id of the request.
   * @returns Lines, oldest first.
   */
  get(subject: string): readonly string[] {
    return this.lines.get(subject) ?? [];
  }
}
