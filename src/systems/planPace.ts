/** Measured latency of a serving task, and its latency target. */
export interface ServingLoad {
  readonly latencyMs: number;
  readonly latencyTargetMs: number;
}

/** A best-effort task that shares its target with serving tasks. */
export interface PacedTask {
  readonly taskName: string;
  readonly run: number;
  /** Current speed, as a percentage of full speed. */
  readonly percent: number;
}

/** A new speed for a best-effort task. */
export interface PaceChange {
  readonly taskName: string;
  readonly run: number;
  readonly percent: number;
}

/** Share of a latency target above which best-effort tasks are slowed, before it is missed. */
const SLOWDOWN_SHARE = 0.85;
/** Share of a latency target below which best-effort tasks speed up again. */
const SPEEDUP_SHARE = 0.6;
/** Speed after the first reduction; the second one pauses, both within 2 s of the first report. */
const REDUCED_PERCENT = 30;
/** Increase with each report, which takes about seven seconds from a pause to full speed. */
const SPEEDUP_PERCENT = 15;
const FULL_PERCENT = 100;

/**
 * Decides how fast the best-effort tasks of one target may run.
 *
 * Keeps best-effort tasks from making serving tasks miss their latency targets: they are slowed at
 * once when a latency nears its target, and regain speed in small steps.
 * @param serving - The serving tasks of the target.
 * @param paced - Its best-effort tasks.
 * @returns The tasks whose speed is to change.
 */
export function planPace(
  serving: readonly ServingLoad[],
  paced: readonly PacedTask[],
): readonly PaceChange[] {
  const share = Math.max(
    0,
    ...serving.map(({ latencyMs, latencyTargetMs }) => latencyMs / latencyTargetMs),
  );
  const choosePercent = (percent: number): number => {
    if (share > SLOWDOWN_SHARE) return percent > REDUCED_PERCENT ? REDUCED_PERCENT : 0;
    return share < SPEEDUP_SHARE ? Math.min(FULL_PERCENT, percent + SPEEDUP_PERCENT) : percent;
  };
  return paced
    .map(({ taskName, run, percent }) => ({ taskName, run, percent, next: choosePercent(percent) }))
    .filter(({ percent, next }) => next !== percent)
    .map(({ taskName, run, next }) => ({ taskName, run, percent: next }));
}
