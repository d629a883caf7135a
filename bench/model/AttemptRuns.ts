import type { JobState } from './JobState.js';

/** An attempt that begins on a VM. */
export interface AttemptStart {
  readonly attemptId: string;
  readonly state: JobState;
  readonly vm: string;
  readonly startedAtMs: number;
  readonly failure: 'none' | 'failed';
  /** Run time ahead when the run begins, in milliseconds. */
  readonly workMs: number;
}

/** A run of an attempt, at the speed that it has had for some time. */
export interface AttemptRun extends AttemptStart {
  /** Time from which on the speed has been as it is. */
  readonly resumedAtMs: number;
  /** Run time that was ahead then. */
  readonly remainingMs: number;
  readonly speed: number;
  readonly endsAtMs: number;
}

/** The runs that go on, each of which ends when its work is done at its speed. */
export class AttemptRuns {
  private readonly runs = new Map<string, AttemptRun>();

  private readonly scheduleEnd: (attemptId: string, endsAtMs: number) => void;

  /**
   * Creates the runs, of which there are none.
   * @param scheduleEnd - Is told when a run ends; a change of its speed schedules another end.
   */
  constructor(scheduleEnd: (attemptId: string, endsAtMs: number) => void) {
    this.scheduleEnd = scheduleEnd;
  }

  /**
   * Computes the run time that is still ahead.
   * @param run - The run.
   * @param nowMs - Present time.
   * @returns The time at full speed, in milliseconds.
   */
  static getRemainingMs(run: AttemptRun, nowMs: number): number {
    return run.remainingMs - (nowMs - run.resumedAtMs) * run.speed;
  }

  /**
   * Begins a run at full speed.
   * @param start - The attempt and its VM.
   */
  begin(start: AttemptStart): void {
    const { startedAtMs, workMs } = start;
    this.put({
      ...start,
      resumedAtMs: startedAtMs,
      remainingMs: workMs,
      speed: 1,
      endsAtMs: startedAtMs + workMs,
    });
  }

  /**
   * Gets a run.
   * @param attemptId - Id of the attempt.
   * @returns The run, or undefined if it does not go on.
   */
  get(attemptId: string): AttemptRun | undefined {
    return this.runs.get(attemptId);
  }

  /**
   * Gets a run that is known to go on.
   * @param attemptId - Id of the attempt.
   * @returns The run.
   * @throws Error If it does not go on.
   */
  getOrThrow(attemptId: string): AttemptRun {
    const run = this.runs.get(attemptId);
    if (run === undefined) throw new Error(`The attempt ${attemptId} does not run.`);
    return run;
  }

  /**
   * Tells whether a run goes on and ends at a scheduled time.
   * @param attemptId - Id of the attempt.
   * @param endsAtMs - The scheduled time.
   * @returns Whether it ends then.
   */
  isDue(attemptId: string, endsAtMs: number): boolean {
    return this.runs.get(attemptId)?.endsAtMs === endsAtMs;
  }

  /**
   * Lists all runs.
   * @returns The runs.
   */
  list(): readonly AttemptRun[] {
    return [...this.runs.values()];
  }

  /**
   * Lists the runs on a VM.
   * @param vm - Name of the VM.
   * @returns The runs.
   */
  listOn(vm: string): readonly AttemptRun[] {
    return this.list().filter((run) => run.vm === vm);
  }

  /**
   * Removes a run.
   * @param attemptId - Id of the attempt.
   */
  remove(attemptId: string): void {
    this.runs.delete(attemptId);
  }

  /**
   * Changes the speed of a run, if it goes on.
   * @param attemptId - Id of the attempt.
   * @param speed - The new speed, as a share of full speed.
   * @param nowMs - Present time.
   */
  setSpeed(attemptId: string, speed: number, nowMs: number): void {
    const run = this.runs.get(attemptId);
    if (run === undefined) return;
    const remainingMs = AttemptRuns.getRemainingMs(run, nowMs);
    const endsAtMs = nowMs + Math.max(0, remainingMs) / speed;
    this.put({ ...run, remainingMs, resumedAtMs: nowMs, speed, endsAtMs });
  }

  private put(run: AttemptRun): void {
    this.runs.set(run.attemptId, run);
    this.scheduleEnd(run.attemptId, run.endsAtMs);
  }
}
