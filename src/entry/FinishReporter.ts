import type { PeerRequest } from '../peers/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';
import type { HomeRouter } from './HomeRouter.js';

/** Report of how the use of a grant ended. */
export type FinishReport = Extract<PeerRequest, { readonly type: 'finish-grant' }>;

/** Options of {@link FinishReporter}. */
export interface FinishReporterOptions {
  readonly router: Pick<HomeRouter, 'call'>;
  readonly clock: Clock;
}

interface PendingReport {
  readonly report: FinishReport;
  readonly sendAtMs: number;
  readonly giveUpAtMs: number;
}

const REPORT_TIMEOUT_MS = 4_000;
const RETRY_DELAY_MS = 1_000;
/** How long the settlement of a claim is retried; without it, repeats cannot get the outcome. */
const CLAIM_RETRY_WINDOW_MS = 3_600_000;

/** Reports to homes how grants ended; retries across changes of home and outages of the log. */
export class FinishReporter {
  private readonly options: FinishReporterOptions;

  private readonly pending = new Map<string, PendingReport>();

  private readonly sends = new KeyedOnce();

  /**
   * Creates a reporter without pending reports.
   * @param options - Router to the homes, and clock.
   */
  constructor(options: FinishReporterOptions) {
    this.options = options;
  }

  /** Number of reports that no home has confirmed yet. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Reports to the home of a pool how a grant ended, and retries until the home confirms it or the
   * retry time is over.
   * @param report - The report.
   */
  report(report: FinishReport): void {
    const nowMs = this.options.clock.monotonicMs();
    const giveUpAtMs = nowMs + (report.isClaimed ? CLAIM_RETRY_WINDOW_MS : REPORT_TIMEOUT_MS);
    this.pending.set(report.grantId, { report, sendAtMs: nowMs, giveUpAtMs });
    this.tick();
  }

  /**
   * Gets the report of a request whose settlement is not recorded yet.
   * @param requestId - The request.
   * @returns The report, or undefined if none is pending.
   */
  getPending(requestId: string): FinishReport | undefined {
    const pendingReports = Array.from(this.pending.values());
    return pendingReports.find(({ report }) => report.requestId === requestId)?.report;
  }

  /** Sends the reports that are due. */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    Array.from(this.pending.values())
      .filter((pending) => pending.sendAtMs <= nowMs)
      .forEach((pending) => {
        this.sends.start(pending.report.grantId, () => this.send(pending));
      });
  }

  private async send(pending: PendingReport): Promise<void> {
    const { report } = pending;
    const reply = await this.options.router
      .call(report.pool, report, REPORT_TIMEOUT_MS)
      .catch(() => undefined);
    const nowMs = this.options.clock.monotonicMs();
    if (reply?.type === 'done' || nowMs >= pending.giveUpAtMs) {
      this.pending.delete(report.grantId);
      return;
    }
    this.pending.set(report.grantId, { ...pending, sendAtMs: nowMs + RETRY_DELAY_MS });
  }
}
