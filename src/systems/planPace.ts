/** A serving task on a target: what its users see, and what they may see. */
export interface ServingLoad {
  readonly latencyMs: number;
  readonly latencyTargetMs: number;
}

/** A best-effort task beside serving ones. */
export interface PacedTask {
  readonly taskName: string;
  readonly run: number;
  /** Share of its full speed at which it works now, in percent. */
  readonly percent: number;
}

/** A change of a best-effort task's speed. */
export interface PaceChange {
  readonly taskName: string;
  readonly run: number;
  readonly percent: number;
}

/** Share of a latency target from which best-effort tasks make room, before it is missed. */
const TIGHT_SHARE = 0.85;
/** Share of a latency target below which best-effort tasks may work more. */
const EASY_SHARE = 0.6;
/** First step down; the second one is to stand still, both within 2 s of the first report. */
const REDUCED_PERCENT = 30;
/** Step up with each report: about seven seconds from nothing to full speed. */
const RAISE_PERCENT = 15;
const FULL_PERCENT = 100;

/**
 * Decides how fast the best-effort tasks of one target may work.
 *
 * Guards against serving tasks that miss their latency target because of their neighbours: those
 * are slowed at once when it gets tight, and come back in small steps.
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
  const choose = (percent: number): number => {
    if (share > TIGHT_SHARE) return percent > REDUCED_PERCENT ? REDUCED_PERCENT : 0;
    return share < EASY_SHARE ? Math.min(FULL_PERCENT, percent + RAISE_PERCENT) : percent;
  };
  return paced
    .map(({ taskName, run, percent }) => ({ taskName, run, percent, next: choose(percent) }))
    .filter(({ percent, next }) => next !== percent)
    .map(({ taskName, run, next }) => ({ taskName, run, percent: next }));
}
