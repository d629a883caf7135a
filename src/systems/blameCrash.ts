/** A run that was on a target when that crashed. */
export interface CrashedRun {
  readonly jobId: string;
  /** Crashes of targets that its task may have caused before. */
  readonly crashCount: number;
  readonly isLongRunning: boolean;
  /** Whether its start was sent, so that the target may have begun it. */
  readonly isSent: boolean;
  /** For how long the target is known to have borne the run, in milliseconds. */
  readonly survivedMs: number;
}

/** What a crash says of one of the runs. */
export interface CrashBlame {
  /** Crashes that the task may have caused, with this one where it may have caused it. */
  readonly crashCount: number;
  /** Whether the task is to blame, so that it must not be started again. */
  readonly isToBlame: boolean;
}

/**
 * Time after which a target has borne a run, in milliseconds: a task that crashes the targets which
 * start it does so at once, and the longer this is, the more crashes by chance fall into it.
 */
export const PROVEN_MS = 150;
/** Time after which earlier crashes say nothing of a task any more, in milliseconds. */
const CLEARED_MS = 30_000;
/** Crashes after which a task is to blame that was never the only one to have just begun. */
const MAX_CRASHES = 4;
/** Crashes of a task to blame: one may be chance, as each target fails once in a while. */
const MIN_CRASHES = 2;

/**
 * Tells whether a target has borne a run for long enough that its start does not crash it.
 * @param survivedMs - For how long the target is known to have borne it, in milliseconds.
 * @returns Whether it has.
 */
export function isProvenRun(survivedMs: number): boolean {
  return survivedMs >= PROVEN_MS;
}

function isRecent({ isSent, survivedMs }: CrashedRun): boolean {
  return isSent && !isProvenRun(survivedMs);
}

/**
 * What a crash is worth as evidence. It is weak where the target was lost with others of its rack,
 * or may be one that crashes again and again whatever it runs.
 */
export type CrashEvidence = 'strong' | 'weak';

/** A long-running task is on many targets that crash under others that have just begun there. */
function mayHaveCaused(run: CrashedRun, evidence: CrashEvidence, hasRecent: boolean): boolean {
  if (!run.isSent || run.survivedMs >= CLEARED_MS) return false;
  if (evidence === 'weak') return isRecent(run);
  return isRecent(run) || !run.isLongRunning || !hasRecent;
}

/**
 * Decides which of the runs on a target that has crashed may have caused that, and which of their
 * tasks is to blame for certain enough that it is given up.
 *
 * A task is to blame that was under suspicion before, where no task of another job had just begun:
 * which task of a job it is changes nothing for the job. One that crashes its targets later, or is
 * never the only one, is to blame after some more crashes.
 * @param runs - All runs that were on the target, sent or not.
 * @param evidence - What the crash is worth; a weak one counts only for what had just begun.
 * @returns What follows for the task of each run, in the same order.
 */
export function blameCrash(
  runs: readonly CrashedRun[],
  evidence: CrashEvidence,
): readonly CrashBlame[] {
  const recentJobs = new Set(runs.filter(isRecent).map(({ jobId }) => jobId));
  const hasRecent = recentJobs.size > 0;
  return runs.map((run) => {
    const isCause = mayHaveCaused(run, evidence, hasRecent);
    const isCleared = run.isSent && run.survivedMs >= CLEARED_MS;
    const crashCount = isCleared ? 0 : run.crashCount + (isCause ? 1 : 0);
    const isWorst = runs
      .filter((other) => other.isSent)
      .every((other) => other.crashCount <= run.crashCount);
    const isAlone = evidence === 'strong' && isRecent(run) && recentJobs.size === 1;
    const isToBlame = isCause && isWorst && crashCount >= (isAlone ? MIN_CRASHES : MAX_CRASHES);
    return { crashCount, isToBlame };
  });
}
