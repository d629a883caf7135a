import { isFinished } from '../jobs/index.js';
import {
  getStepKey,
  PeerRunTimes,
  RunPaces,
  type RunSpan,
  type RunTimes,
  type TargetPace,
  TargetPaces,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable, PlacedTask } from './JobTable.js';
import type { RunKey } from './RunKey.js';
import type { TargetEntries } from './TargetEntry.js';
import type { TargetReport } from './TargetSession.js';

/** Options of {@link PaceObserver}. */
export interface PaceObserverOptions {
  readonly table: JobTable;
  readonly runTimes: RunTimes;
  readonly getEntries: () => TargetEntries;
  readonly clock: Clock;
}

/** A run whose pace tells of its target. */
export interface ComparableRun extends PlacedTask {
  readonly stepKey: string;
  readonly isCheckpointing: boolean;
  /** How long the task takes on other targets, in milliseconds. */
  readonly wholeElsewhereMs: number;
  /** The same by other tasks of the step, in milliseconds; undefined if too few tell. */
  readonly peersMs: number | undefined;
  /** The same by the estimate alone, in milliseconds. */
  readonly estimateMs: number;
}

const WHOLE_PERCENT = 100;
/** Progress that is assumed for a run without any, so that its run time is finite. */
const MIN_DONE_PERCENT = 1;

function getRunMs({ elapsedMs, donePercent }: RunSpan): number {
  return (elapsedMs * WHOLE_PERCENT) / Math.max(MIN_DONE_PERCENT, donePercent);
}

/** Observes how fast runs progress, and compares the targets of a pool by it. */
export class PaceObserver {
  private readonly options: PaceObserverOptions;

  private readonly runs = new RunPaces();

  private readonly peers = new PeerRunTimes();

  private readonly targets = new TargetPaces();

  /** Reading of each target's clock in its latest report, in milliseconds. */
  private readonly clocksMs = new Map<string, number>();

  /**
   * Starts without observations.
   * @param options - The jobs, estimates and targets.
   */
  constructor(options: PaceObserverOptions) {
    this.options = options;
  }

  /**
   * Records that a target has begun a run.
   * @param key - The run.
   * @param atTargetMs - When, by the target's clock.
   */
  noteStarted(key: RunKey, atTargetMs: number): void {
    if (this.find(key) !== undefined) this.runs.note(key, { atTargetMs, progressPercent: 0 });
  }

  /**
   * Records when a target made its latest report, before the ends in it are applied.
   * @param targetId - The target.
   * @param atTargetMs - The time, by the target's clock.
   */
  noteClock(targetId: string, atTargetMs: number): void {
    this.clocksMs.set(targetId, atTargetMs);
  }

  /**
   * Records the progress of the runs on a target.
   * @param targetId - The target.
   * @param report - Its report.
   */
  noteRunning(targetId: string, { answer }: Pick<TargetReport, 'answer'>): void {
    answer.running.forEach(({ taskName, run, progressPercent }) => {
      const key = { taskName, run, targetId };
      const found = this.find(key);
      if (found === undefined) return;
      const span = this.runs.note(key, { atTargetMs: answer.targetClockMs, progressPercent });
      if (span !== undefined) this.notePace(key, found, span, span);
    });
  }

  /**
   * Records that a run is done.
   *
   * The end may be reported late, as the home renews the lease only once earlier ends are stored.
   * So the part that no report has shown counts as run at the expected pace, unless it was faster;
   * as a peer of other runs, the run counts with the whole time.
   * @param key - The run.
   */
  noteDone(key: RunKey): void {
    const { taskName, targetId } = key;
    const latest = this.runs.getLatest(taskName);
    const found = this.find(key);
    const atTargetMs = this.clocksMs.get(targetId);
    if (latest === undefined || found === undefined || atTargetMs === undefined) return;
    const restShare = (WHOLE_PERCENT - latest.progressPercent) / WHOLE_PERCENT;
    const unseenMs = atTargetMs - latest.atTargetMs;
    const countedMs = Math.min(unseenMs, restShare * found.wholeElsewhereMs);
    const end = { atTargetMs: latest.atTargetMs + countedMs, progressPercent: WHOLE_PERCENT };
    const span = this.runs.note(key, end);
    if (span === undefined) return;
    const wholeSpan = { ...span, elapsedMs: span.elapsedMs + unseenMs - countedMs };
    this.notePace(key, found, span, wholeSpan);
  }

  /**
   * Compares a target with its peers.
   * @param targetId - The target.
   * @param pool - Its pool.
   * @returns Its pace; undefined if too few runs or targets tell.
   */
  compare(targetId: string, pool: string): TargetPace | undefined {
    return this.targets.compare(targetId, pool, this.options.clock.monotonicMs());
  }

  /**
   * Gets the measured progress of a run.
   * @param taskName - Name of the task.
   * @returns The span; undefined if it is too short.
   */
  getSpan(taskName: string): RunSpan | undefined {
    return this.runs.get(taskName);
  }

  /**
   * Finds a run whose pace tells of its target. Gangs wait for members, services have no end, best
   * effort yields to others, a restored run begins with a pause of unknown length, and a run away
   * from its data takes longer by itself.
   * @param key - The run.
   * @returns The run; undefined if it tells nothing.
   */
  find(key: RunKey): ComparableRun | undefined {
    const { table, getEntries, runTimes } = this.options;
    const placed = table.findPlaced(key);
    if (placed === undefined || isFinished(placed.row)) return undefined;
    const { row, position } = placed;
    const task = row.tasks[position]!;
    const step = row.spec.steps[task.step]!;
    const { isGang, isLongRunning, isBestEffort, dataRack, isCheckpointing } = step;
    if (isGang || isLongRunning || isBestEffort || task.checkpoint) return undefined;
    const { rack } = getEntries().get(key.targetId) ?? {};
    if (dataRack !== undefined && rack !== dataRack) return undefined;
    const stepKey = getStepKey(row, task.occurrence, task.step);
    const peersMs = this.peers.getElsewhereMs(stepKey, key.targetId);
    const estimateMs = runTimes.estimateMs(row, task.step);
    const nowMs = this.options.clock.monotonicMs();
    const poolShare = this.targets.getPoolShare(row.spec.terms.pool, nowMs) ?? 1;
    const wholeElsewhereMs = peersMs ?? estimateMs / poolShare;
    return { row, position, stepKey, isCheckpointing, wholeElsewhereMs, peersMs, estimateMs };
  }

  /**
   * Lets the pace of a target count anew from its next report.
   * @param targetId - The target.
   */
  forgetPaces(targetId: string): void {
    this.targets.forget(targetId);
  }

  /**
   * Forgets a run that is over.
   * @param taskName - Name of the task.
   */
  forgetRun(taskName: string): void {
    this.runs.forget(taskName);
  }

  /**
   * Forgets a target whose lifetime is over.
   * @param targetId - The target.
   */
  forgetTarget(targetId: string): void {
    this.targets.forget(targetId);
    this.clocksMs.delete(targetId);
  }

  /** Records a pace by one span, and the run time of a peer of other runs by another one. */
  private notePace(key: RunKey, found: ComparableRun, span: RunSpan, peerSpan: RunSpan): void {
    const { taskName, targetId } = key;
    const { stepKey, peersMs, estimateMs } = found;
    const runMs = getRunMs(span);
    const peerShare = peersMs && peersMs / runMs;
    const pace = { stepKey, estimateShare: estimateMs / runMs, peerShare };
    this.targets.note(targetId, taskName, pace, this.options.clock.monotonicMs());
    this.peers.note({ stepKey, taskName, targetId, runMs: getRunMs(peerSpan) });
  }
}
