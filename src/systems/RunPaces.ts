/** Progress of a run at one moment, by a report or by the answer to its start. */
export interface ProgressPoint {
  /** When the target made the report, by its own clock. */
  readonly atTargetMs: number;
  readonly progressPercent: number;
}

/** What a run has got done in a recent span of time. */
export interface RunSpan {
  readonly targetId: string;
  readonly elapsedMs: number;
  /** Progress within the span, in percent of the whole task. */
  readonly donePercent: number;
}

interface RunTrack {
  readonly targetId: string;
  readonly run: number;
  /** Where the measured span begins. */
  readonly from: ProgressPoint;
  /** Where the span will begin once it has become too long. */
  readonly middle: ProgressPoint;
  readonly latest: ProgressPoint;
}

/** Identifies a run on a target. */
export interface TrackedRun {
  readonly taskName: string;
  readonly run: number;
  readonly targetId: string;
}

/**
 * Half of the longest span over which progress is measured, in milliseconds. A target holds its
 * reports back for 1 s at most, so a span has two reports or more.
 */
const HALF_SPAN_MS = 1_000;
/** Shortest span that tells a pace, in milliseconds: progress is reported in whole percents. */
const MIN_SPAN_MS = 300;

function measure({ targetId, from, latest }: RunTrack): RunSpan | undefined {
  const elapsedMs = latest.atTargetMs - from.atTargetMs;
  if (elapsedMs < MIN_SPAN_MS) return undefined;
  return { targetId, elapsedMs, donePercent: latest.progressPercent - from.progressPercent };
}

/**
 * Measures the progress of runs over the last one to two seconds.
 *
 * All times are readings of the target's own clock: if the home was paused, it reads reports late
 * that were made in time, and a run would seem to have stood still.
 */
export class RunPaces {
  private readonly tracks = new Map<string, RunTrack>();

  /**
   * Records the progress of a run.
   * @param tracked - The run.
   * @param point - Its progress, and when the target stated it.
   * @returns What the run got done in the measured span; undefined while that is too short.
   */
  note({ taskName, run, targetId }: TrackedRun, point: ProgressPoint): RunSpan | undefined {
    const known = this.tracks.get(taskName);
    const isKnown = known?.run === run && known.targetId === targetId;
    const { from, middle } = isKnown ? known : { from: point, middle: point };
    const isSpanOver = point.atTargetMs - middle.atTargetMs >= HALF_SPAN_MS;
    const span = isSpanOver ? { from: middle, middle: point } : { from, middle };
    const track = { targetId, run, ...span, latest: point };
    this.tracks.set(taskName, track);
    return measure(track);
  }

  /**
   * Gets what a run got done in the measured span.
   * @param taskName - Name of the task.
   * @returns The span up to the latest report; undefined if it is unknown or too short.
   */
  get(taskName: string): RunSpan | undefined {
    const track = this.tracks.get(taskName);
    return track && measure(track);
  }

  /**
   * Gets the latest progress of a run.
   * @param taskName - Name of the task.
   * @returns The progress; undefined if there is no report.
   */
  getLatest(taskName: string): ProgressPoint | undefined {
    return this.tracks.get(taskName)?.latest;
  }

  /**
   * Forgets a run that is over.
   * @param taskName - Name of the task.
   */
  forget(taskName: string): void {
    this.tracks.delete(taskName);
  }
}
