import type { TargetObserver } from '../../../standins/leasedTargets/TargetObserver.js';
import type { EndedTaskReport, TaskEnd } from '../../../src/targets/index.js';
import type { Clock } from '../../../src/utils/index.js';

/** A run as its target saw it. */
export interface WatchedRun {
  readonly targetId: string;
  readonly taskName: string;
  readonly run: number;
  readonly begunAtMs: number;
  endedAtMs?: number;
  /** How it ended; `crashed` with its target. */
  end?: TaskEnd | 'crashed';
  endNumber?: number;
  /** When its end was acknowledged. */
  acknowledgedAtMs?: number;
  /** Whether the lease lapsed between the end and its acknowledgement, which excuses a repeat. */
  hasLapsedSince?: boolean;
}

/** Tells whether an end was acknowledged and stands for good. */
function isBinding({ acknowledgedAtMs, hasLapsedSince }: WatchedRun): boolean {
  return acknowledgedAtMs !== undefined && hasLapsedSince !== true;
}

function hasEndedBefore(earlier: WatchedRun, later: WatchedRun): boolean {
  return earlier.endedAtMs !== undefined && earlier.endedAtMs <= later.begunAtMs;
}

/** Keeps the runs on all targets, and tells which of them should not have been. */
export class RunWatch implements TargetObserver {
  /** Runs that have begun, in order. */
  readonly runs: WatchedRun[] = [];

  /** Called with each run that begins. */
  onRun: ((run: WatchedRun) => void) | undefined;

  private readonly clock: Clock;

  /**
   * Starts without runs.
   * @param clock - Clock of the targets.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** {@inheritDoc TargetObserver.onBegun} */
  onBegun(targetId: string, taskName: string, run: number): void {
    const begunAtMs = this.clock.monotonicMs();
    const watched = { targetId, taskName, run, begunAtMs };
    this.runs.push(watched);
    this.onRun?.(watched);
  }

  /** {@inheritDoc TargetObserver.onEnded} */
  onEnded(targetId: string, { taskName, run, end, endNumber }: EndedTaskReport, atMs: number) {
    const ended = this.runs.find(
      (known) =>
        known.targetId === targetId &&
        known.taskName === taskName &&
        known.run === run &&
        known.endedAtMs === undefined,
    );
    Object.assign(ended!, { endedAtMs: atMs, end, endNumber });
  }

  /** {@inheritDoc TargetObserver.onAcknowledged} */
  onAcknowledged(targetId: string, endNumber: number): void {
    const acknowledgedAtMs = this.clock.monotonicMs();
    this.listUnacknowledged(targetId)
      .filter((run) => run.endNumber !== undefined && run.endNumber <= endNumber)
      .forEach((run) => Object.assign(run, { acknowledgedAtMs }));
  }

  /** {@inheritDoc TargetObserver.onLapsed} */
  onLapsed(targetId: string, atMs: number): void {
    this.listUnacknowledged(targetId)
      .filter(({ endedAtMs }) => endedAtMs !== undefined && endedAtMs <= atMs)
      .forEach((run) => Object.assign(run, { hasLapsedSince: true }));
  }

  /** {@inheritDoc TargetObserver.onCrashed} */
  onCrashed(targetId: string): void {
    const endedAtMs = this.clock.monotonicMs();
    this.runs
      .filter((run) => run.targetId === targetId && run.endedAtMs === undefined)
      .forEach((run) => Object.assign(run, { endedAtMs, end: 'crashed' }));
  }

  /**
   * Lists the runs of a task.
   * @param taskName - Name of the task.
   * @returns The runs in the order of their beginnings.
   */
  listOf(taskName: string): readonly WatchedRun[] {
    return this.runs.filter((run) => run.taskName === taskName);
  }

  /**
   * Lists the runs that should not have begun.
   * @param maxAttempts - Count of failed runs after which a task must not begin again.
   * @returns A sentence for each, in the order of their beginnings.
   */
  listViolations(maxAttempts: number): readonly string[] {
    return this.runs.flatMap((run, place) => {
      const earlier = this.runs.slice(0, place).filter((other) => other.taskName === run.taskName);
      const beside = earlier.filter((other) => !hasEndedBefore(other, run));
      const ends = earlier.filter((other) => hasEndedBefore(other, run) && isBinding(other));
      const done = ends.filter(({ end }) => end === 'done');
      const failed = ends.filter(({ end }) => end === 'failed');
      const name = `run ${run.run} of ${run.taskName} on ${run.targetId} at ${run.begunAtMs} ms`;
      return [
        ...beside.map((other) => `${name} began beside run ${other.run} on ${other.targetId}`),
        ...done.map((other) => `${name} began after the acknowledged end of run ${other.run}`),
        ...(failed.length >= maxAttempts ? [`${name} began after ${failed.length} failures`] : []),
      ];
    });
  }

  /**
   * Lists the runs of a gang that should not have begun, as it has failed too often before.
   * @param taskNames - Names of its members.
   * @param maxAttempts - Count of failed runs after which the gang must not begin again.
   * @returns A sentence for each.
   */
  listGangViolations(taskNames: readonly string[], maxAttempts: number): readonly string[] {
    const ofGang = this.runs.filter(({ taskName }) => taskNames.includes(taskName));
    return ofGang.flatMap((run) => {
      const failed = ofGang
        .filter((other) => hasEndedBefore(other, run) && isBinding(other))
        .filter((other) => other.end === 'failed' && other.run !== run.run);
      const attempts = new Set(failed.map((other) => other.run)).size;
      if (attempts < maxAttempts) return [];
      return [`run ${run.run} of ${run.taskName} began after ${attempts} failed runs of its gang`];
    });
  }

  private listUnacknowledged(targetId: string): readonly WatchedRun[] {
    return this.runs.filter(
      (run) => run.targetId === targetId && run.acknowledgedAtMs === undefined,
    );
  }
}
