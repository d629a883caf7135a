import type { EventFields, EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** What a call to a home waits for. */
export type HomeCallWait =
  /** The handler of this instance, which is the home. */
  | 'local'
  /** The reply of a peer. */
  | 'peer'
  /** The pause after an attempt that knew of no home. */
  | 'noHome'
  /** The pause after a home that was still reading its jobs. */
  | 'loading'
  /** The pause after a home that refused the call for now. */
  | 'refused'
  /** The pause after a home that did not reply. */
  | 'unanswered'
  /** The list of homes, beyond such a pause. */
  | 'refresh';

/** Options of {@link HomeCallTrace}. */
export interface HomeCallTraceOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Fields that tell which call it is. */
  readonly fields: EventFields;
}

/** Time from which a call with a reply is slow, in milliseconds. */
const SLOW_MS = 1_000;
/** Time after which a call should have ended, in milliseconds: the search and the last reply. */
const OPEN_AFTER_MS = 5_000;

/** Measures what a call to a home waits for, and logs it if the wait is long or in vain. */
export class HomeCallTrace {
  private readonly options: HomeCallTraceOptions;

  private readonly startedAtMs: number;

  private readonly timer: NodeJS.Timeout;

  private readonly waitedMs = new Map<HomeCallWait, number>();

  private current: { readonly wait: HomeCallWait; readonly sinceMs: number } | undefined;

  private attemptCount = 0;

  private home: string | undefined;

  private isReplied = false;

  /**
   * Starts to measure a call.
   * @param options - The clock, and which call it is.
   */
  constructor(options: HomeCallTraceOptions) {
    this.options = options;
    this.startedAtMs = options.clock.monotonicMs();
    this.timer = setTimeout(() => this.writeOpen(), OPEN_AFTER_MS);
    this.timer.unref();
  }

  /** Takes note of an attempt, whether or not a home is known. */
  noteAttempt(): void {
    this.attemptCount += 1;
  }

  /**
   * Takes note that an attempt calls a home.
   * @param instance - The instance that is the home.
   * @param isLocal - Whether it is this instance.
   */
  noteHome(instance: string, isLocal: boolean): void {
    this.home = instance;
    this.begin(isLocal ? 'local' : 'peer');
  }

  /** Takes note that a home has replied; its reply may be a refusal. */
  noteReply(): void {
    this.isReplied = true;
  }

  /**
   * Ends the wait before and begins another.
   * @param wait - What the call waits for from now on.
   */
  begin(wait: HomeCallWait): void {
    this.endCurrent();
    this.current = { wait, sinceMs: this.options.clock.monotonicMs() };
  }

  /** Ends the measurement, and logs it if the call was slow or got no reply. */
  end(): void {
    clearTimeout(this.timer);
    this.endCurrent();
    if (this.isReplied && this.tookMs <= SLOW_MS) return;
    const { events, fields } = this.options;
    events.write('homeCallWaited', { ...fields, ...this.describe() });
  }

  private get tookMs(): number {
    return this.options.clock.monotonicMs() - this.startedAtMs;
  }

  private endCurrent(): void {
    if (this.current === undefined) return;
    const { wait, sinceMs } = this.current;
    const forMs = this.options.clock.monotonicMs() - sinceMs;
    this.waitedMs.set(wait, (this.waitedMs.get(wait) ?? 0) + forMs);
    this.current = undefined;
  }

  private writeOpen(): void {
    const { clock, events, fields } = this.options;
    const { current } = this;
    events.write('homeCallOpen', {
      ...fields,
      ...this.describe(),
      waitsFor: current?.wait,
      waitsForMs: current && Math.round(clock.monotonicMs() - current.sinceMs),
    });
  }

  private describe(): EventFields {
    const getMs = (wait: HomeCallWait): number => Math.round(this.waitedMs.get(wait) ?? 0);
    return {
      home: this.home,
      isReplied: this.isReplied,
      tookMs: Math.round(this.tookMs),
      attemptCount: this.attemptCount,
      noHomeMs: getMs('noHome'),
      loadingMs: getMs('loading'),
      refusedMs: getMs('refused'),
      unansweredMs: getMs('unanswered'),
      localMs: getMs('local'),
      peerMs: getMs('peer'),
      refreshMs: getMs('refresh'),
    };
  }
}
