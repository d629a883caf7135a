import type { DurableJobRow } from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  FailureShares,
  type Mechanisms,
  type TargetIntake,
  TargetVerdicts,
} from '../systems/index.js';
import type { TaskEnd } from '../targets/index.js';
import { groupBy } from '../utils/index.js';
import { PaceObserver, type PaceObserverOptions } from './PaceObserver.js';
import type { RunKey } from './RunKey.js';
import type { TargetReport } from './TargetSession.js';

/** Options of {@link UnevenTargets}. */
export interface UnevenTargetsOptions extends PaceObserverOptions {
  readonly mechanisms: Mechanisms;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

interface TargetCounts {
  readonly byPool: ReadonlyMap<string, number>;
  readonly untilMs: number;
}

/** Time for which the numbers of targets are used again, in milliseconds. */
const COUNTS_KEPT_MS = 250;
const PERCENT = 100;

/** Finds the targets of a home that are slow or fail a part of their runs, and avoids them. */
export class UnevenTargets {
  /** How fast runs progress. */
  readonly paces: PaceObserver;

  private readonly options: UnevenTargetsOptions;

  private readonly failures = new FailureShares();

  private readonly verdicts = new TargetVerdicts();

  private counts: TargetCounts = { byPool: new Map(), untilMs: Number.NEGATIVE_INFINITY };

  /**
   * Starts with all targets as good as their peers.
   * @param options - The jobs and targets, and where to log.
   */
  constructor(options: UnevenTargetsOptions) {
    this.options = options;
    this.paces = new PaceObserver(options);
  }

  /**
   * Records that a target has begun a run.
   * @param key - The run.
   * @param atTargetMs - When, by the target's clock.
   */
  noteStarted(key: RunKey, atTargetMs: number): void {
    if (this.comparesPaces) this.paces.noteStarted(key, atTargetMs);
  }

  /**
   * Judges a target by the progress of its runs.
   * @param targetId - The target.
   * @param report - Its report, of which the ends are applied.
   */
  noteReport(targetId: string, report: Pick<TargetReport, 'answer'>): void {
    if (!this.comparesPaces) return;
    this.paces.noteRunning(targetId, report);
    const pool = this.getPool(targetId);
    const pace = pool === undefined ? undefined : this.paces.compare(targetId, pool);
    if (pool === undefined || pace === undefined) return;
    const change = this.verdicts.judgePace(targetId, pool, pace, this.nowMs);
    if (change === 'same') return;
    this.paces.forgetPaces(targetId);
    const { runCount, share } = pace;
    const pacePercent = Math.round(share * PERCENT);
    this.logChange(targetId, pool, change, { reason: 'slow', pacePercent, runCount });
  }

  /**
   * Records the end of a run, before it is applied to its job.
   * @param key - The run.
   * @param row - Its job.
   * @param end - How it ended.
   */
  noteEnd(key: RunKey, { spec }: DurableJobRow, end: TaskEnd): void {
    const { taskName, targetId } = key;
    if (end === 'done' && this.comparesPaces) this.paces.noteDone(key);
    this.paces.forgetRun(taskName);
    if ((end !== 'done' && end !== 'failed') || !this.comparesFailures) return;
    const { jobId, terms } = spec;
    const { pool } = terms;
    this.failures.note({ targetId, pool, jobId, isFailed: end === 'failed' }, this.nowMs);
    this.judgeFailures(targetId, pool);
  }

  /**
   * Tells which tasks a target may get.
   * @param targetId - The target.
   * @returns All tasks unless it is slow or fails; where too many targets of its pool seem so, the
   * cause is the load or the estimates, and each may get all tasks.
   */
  getIntake(targetId: string): TargetIntake {
    const verdict = this.verdicts.get(targetId);
    if (verdict === undefined) return 'all';
    return this.verdicts.getIntake(targetId, this.countTargets(verdict.pool), this.nowMs);
  }

  /**
   * Tells whether a target is avoided as it is slow.
   * @param targetId - The target.
   * @returns Whether runs may end sooner elsewhere.
   */
  isSlow(targetId: string): boolean {
    return this.verdicts.get(targetId)?.reason === 'slow' && this.getIntake(targetId) !== 'all';
  }

  /**
   * Forgets a target whose lifetime is over.
   * @param targetId - The target.
   */
  forgetTarget(targetId: string): void {
    this.paces.forgetTarget(targetId);
    this.failures.forget(targetId);
    this.verdicts.forget(targetId);
  }

  /**
   * Judges the failing targets anew, on each tick: their failures may have become too old to count,
   * or may be those of jobs that have failed elsewhere since.
   */
  check(): void {
    this.failures.prune();
    this.verdicts.list().forEach((targetId) => {
      const { reason, pool } = this.verdicts.get(targetId)!;
      if (reason === 'failing') this.judgeFailures(targetId, pool);
    });
  }

  /** Whether paces are compared; where they are not, nothing of them is kept. */
  private get comparesPaces(): boolean {
    return this.options.mechanisms.has('slow-targets-avoided');
  }

  private get comparesFailures(): boolean {
    return this.options.mechanisms.has('grey-targets-avoided');
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private judgeFailures(targetId: string, pool: string): void {
    const { failures, verdicts, nowMs } = this;
    const sinceMs = verdicts.get(targetId)?.sinceMs ?? nowMs;
    const fails = failures.fails(targetId, nowMs);
    const doneCount = failures.countDoneSince(targetId, sinceMs);
    const change = verdicts.judgeFailures(targetId, pool, fails, doneCount, nowMs);
    if (change === 'same') return;
    if (change === 'returned') failures.forget(targetId);
    this.logChange(targetId, pool, change, { reason: 'failing' });
  }

  private logChange(
    targetId: string,
    pool: string,
    change: 'found' | 'returned',
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const { events, metrics } = this.options;
    if (change === 'found') {
      metrics.increment('uneven_targets', { pool, reason: String(fields.reason) });
      events.write('targetUneven', { targetId, pool, ...fields });
    } else events.write('targetEvenAgain', { targetId, pool, ...fields });
  }

  private getPool(targetId: string): string | undefined {
    return this.options.getEntries().get(targetId)?.pool;
  }

  private countTargets(pool: string): number {
    const { nowMs } = this;
    if (nowMs >= this.counts.untilMs) {
      const entries = [...this.options.getEntries().values()];
      const pools = groupBy(entries, (entry) => entry.pool);
      const byPool = new Map([...pools].map(([name, members]) => [name, members.length]));
      this.counts = { byPool, untilMs: nowMs + COUNTS_KEPT_MS };
    }
    return this.counts.byPool.get(pool) ?? 0;
  }
}
