import { setTimeout as sleep } from 'node:timers/promises';
import type { EventLog } from '../logging/index.js';
import type { EndedTaskReport } from '../targets/index.js';
import type { RecordWriter } from './RecordWriter.js';
import type { TargetReport } from './TargetSession.js';
import type { TargetLossReason, TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';

/** Options of {@link TargetReports}. */
export interface TargetReportsOptions {
  readonly runs: Pick<TaskRuns, 'handleLostTarget' | 'handleReport'>;
  /** Gets the sessions, which are created after the handler of their reports. */
  readonly getSessions: () => Pick<TargetSessions, 'acknowledge' | 'takeNewEnds'>;
  /**
   * Places ready tasks and stores all changes.
   * @throws RattanliftError If this home has been replaced.
   */
  readonly flush: () => Promise<void>;
  readonly flushInBackground: () => void;
  readonly isClosed: () => boolean;
  readonly writer: Pick<RecordWriter, 'endOffset'>;
  readonly partition: number;
  readonly term: number;
  readonly events: EventLog;
}

/** Interval between the renewals of a target's lease while the jobs are read, in milliseconds. */
const LOADING_RENEWAL_PAUSE_MS = 500;
/** Longest wait for the ends in a report to be stored before the lease is renewed. */
const STORE_WAIT_MS = 400;

/** Handles the reports and losses of a home's targets, as soon as the home has its jobs. */
export class TargetReports {
  private readonly options: TargetReportsOptions;

  /** Targets whose lifetimes ended before their runs were known, by id. */
  private readonly earlyLosses = new Map<string, TargetLossReason>();

  /** Aborts the waits for the jobs. */
  private readonly loading = new AbortController();

  /**
   * Creates a handler that keeps losses until the jobs are known.
   * @param options - Runs and sessions of the home.
   */
  constructor(options: TargetReportsOptions) {
    this.options = options;
  }

  /** Whether the home has its jobs. */
  get isLoaded(): boolean {
    return this.loading.signal.aborted;
  }

  /** Begins to handle reports, after the losses that came before. */
  handleLoaded(): void {
    this.loading.abort();
    this.earlyLosses.forEach((reason, targetId) =>
      this.options.runs.handleLostTarget(targetId, reason),
    );
  }

  /**
   * Handles the loss of a target on which nothing runs any more.
   * @param targetId - Id of the target.
   * @param reason - How the loss became known.
   */
  handleGone(targetId: string, reason: TargetLossReason): void {
    if (this.isLoaded) this.options.runs.handleLostTarget(targetId, reason);
    // The session stays: whether the target was draining decides if its loss counts as a crash.
    else if (!this.earlyLosses.has(targetId)) this.earlyLosses.set(targetId, reason);
  }

  /**
   * Handles a report. Until the jobs are known it only paces the renewals that extend the lease:
   * every run would look like a stray one and be stopped.
   * @param targetId - Id of the target.
   * @param report - The report.
   * @returns Resolves once the lease may be renewed again.
   */
  async handleReport(targetId: string, report: TargetReport): Promise<void> {
    if (!this.isLoaded && report.hasExtendedLease) await this.pauseBeforeRenewal();
    if (!this.isLoaded || this.options.isClosed()) return;
    const { runs, getSessions, flushInBackground } = this.options;
    const { ended } = report.answer;
    const newEnds = getSessions().takeNewEnds(targetId, ended);
    runs.handleReport(targetId, newEnds, report);
    if (ended.length === 0) {
      flushInBackground();
      return;
    }
    const lastEndNumber = Math.max(...ended.map(({ endNumber }) => endNumber));
    await this.storeEnds(targetId, lastEndNumber, newEnds);
  }

  private async pauseBeforeRenewal(): Promise<void> {
    const { signal } = this.loading;
    // The pause rejects when it is aborted, which only means that the jobs are known.
    await sleep(LOADING_RENEWAL_PAUSE_MS, undefined, { signal }).catch(() => undefined);
  }

  /**
   * Stores ends and acknowledges them. The target may discard them only once they are stored, but
   * an unavailable store must not prevent the lease from being renewed.
   */
  private async storeEnds(
    targetId: string,
    lastEndNumber: number,
    newEnds: readonly EndedTaskReport[],
  ): Promise<void> {
    const { flush, getSessions } = this.options;
    const stored = flush()
      .then(() => {
        getSessions().acknowledge(targetId, lastEndNumber);
        this.logStoredEnds(targetId, lastEndNumber, newEnds);
      })
      .catch(() => undefined);
    await Promise.race([stored, sleep(STORE_WAIT_MS)]);
  }

  /**
   * Logs ends once, though a target repeats them until they are acknowledged: after an outage of
   * the store, all reports that arrived meanwhile would log the same ends.
   */
  private logStoredEnds(
    targetId: string,
    lastEndNumber: number,
    newEnds: readonly EndedTaskReport[],
  ): void {
    if (newEnds.length === 0) return;
    const { events, partition, term, writer } = this.options;
    const { endOffset } = writer;
    const taskNames = newEnds.map(({ taskName }) => taskName);
    const stored = { targetId, partition, term, lastEndNumber, endOffset };
    events.write('endsStored', { ...stored, taskNames });
  }
}
