/** A run that was on a target when the target crashed. */
export interface CrashedRun {
  readonly jobId: string;
  /** Number of earlier target crashes that its task may have caused. */
  readonly crashCount: number;
  readonly isLongRunning: boolean;
  /** Whether the start request was sent, so that the target may have started the run. */
  readonly isSent: boolean;
  /** How long the target is known to have executed the run, in milliseconds. */
  readonly survivedMs: number;
}

/** Result of a crash for the task of one run. */
export interface CrashAttribution {
  /** Number of crashes that the task may have caused, including this one if applicable. */
  readonly crashCount: number;
  /** Whether the task is taken to be the cause, so that it must not be started again. */
  readonly isCause: boolean;
}

/**
 * Time after which a run counts as stable, in milliseconds. A task that crashes its targets on
 * start does so immediately, and a longer time would include more unrelated crashes.
 */
export const STABLE_AFTER_MS = 150;
/** Run time after which the earlier crashes of a task are disregarded, in milliseconds. */
const CRASH_COUNT_RESET_MS = 30_000;
/** Crashes after which a task is the cause although it was never the only recently started one. */
const MAX_CRASH_COUNT = 4;
/** Least crashes of a task that is the cause: one may be chance, as each target fails at times. */
const MIN_CRASH_COUNT = 2;

/**
 * Tells whether a run has lasted long enough that its start did not crash the target.
 * @param survivedMs - How long the target is known to have executed the run, in milliseconds.
 * @returns Whether the run is stable.
 */
export function isStableRun(survivedMs: number): boolean {
  return survivedMs >= STABLE_AFTER_MS;
}

function isRecent({ isSent, survivedMs }: CrashedRun): boolean {
  return isSent && !isStableRun(survivedMs);
}

/**
 * Strength of a crash as evidence against the runs on the target. It is weak if other targets of
 * the rack were lost too, if the target may be one that keeps crashing regardless of its runs, or
 * if only its next lifetime shows that it has crashed.
 */
export type CrashEvidence = 'strong' | 'weak';

/**
 * Tells whether a run may have caused the crash. A long-running task is not suspected while other
 * runs were just started: it is present on many targets that such runs crash.
 */
function mayHaveCaused(run: CrashedRun, evidence: CrashEvidence, hasRecent: boolean): boolean {
  if (!run.isSent || run.survivedMs >= CRASH_COUNT_RESET_MS) return false;
  if (evidence === 'weak') return isRecent(run);
  return isRecent(run) || !run.isLongRunning || !hasRecent;
}

/**
 * Decides which runs may have caused the crash of their target, and which task is certain enough to
 * be the cause that it is not started again.
 *
 * A task that was suspected before is the cause if no task of another job had just started. Several
 * recently started tasks of one job don't matter, since the outcome for the job is the same. A task
 * that crashes its targets later, or is never the only recent one, needs more crashes.
 * @param runs - All runs that were on the target, whether their start was sent or not.
 * @param evidence - Strength of the evidence; a weak crash counts only for recently started runs.
 * @returns The result for the task of each run, in the same order.
 */
export function attributeCrash(
  runs: readonly CrashedRun[],
  evidence: CrashEvidence,
): readonly CrashAttribution[] {
  const recentJobs = new Set(runs.filter(isRecent).map(({ jobId }) => jobId));
  const hasRecent = recentJobs.size > 0;
  return runs.map((run) => {
    const isPossibleCause = mayHaveCaused(run, evidence, hasRecent);
    const isCountReset = run.isSent && run.survivedMs >= CRASH_COUNT_RESET_MS;
    const crashCount = isCountReset ? 0 : run.crashCount + (isPossibleCause ? 1 : 0);
    const hasMostCrashes = runs
      .filter((other) => other.isSent)
      .every((other) => other.crashCount <= run.crashCount);
    const isOnlyRecentJob = evidence === 'strong' && isRecent(run) && recentJobs.size === 1;
    const isCause =
      isPossibleCause &&
      hasMostCrashes &&
      crashCount >= (isOnlyRecentJob ? MIN_CRASH_COUNT : MAX_CRASH_COUNT);
    return { crashCount, isCause };
  });
}
