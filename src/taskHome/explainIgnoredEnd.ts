import { isFinished, parseTaskName, type TaskPhase } from '../jobs/index.js';
import type { JobTable } from './JobTable.js';
import type { RunKey } from './RunKey.js';

/** Why a reported end changes nothing: what the home has instead of the run. */
export type IgnoredEndReason =
  | 'unknown-job'
  | 'unknown-task'
  | 'finished-job'
  | 'finished-task'
  | 'not-placed'
  | 'other-run'
  | 'other-target';

/** What a home has instead of a run whose end it ignores. */
export interface IgnoredEnd {
  readonly reason: IgnoredEndReason;
  /** Phase of the task; undefined if the home does not have the task. */
  readonly phase?: TaskPhase;
  /** Number of the task's latest run. */
  readonly latestRun?: number;
}

/** Reasons that are common after a takeover or in a gang; the task does not run again. */
const ORDINARY_REASONS: ReadonlySet<IgnoredEndReason> = new Set(['finished-job', 'finished-task']);

/**
 * Tells whether an ignored end is ordinary: nothing was lost with it.
 * @param reason - Why the end is ignored.
 * @returns Whether the task does not run again.
 */
export function isOrdinaryReason(reason: IgnoredEndReason): boolean {
  return ORDINARY_REASONS.has(reason);
}

/**
 * Explains why a home ignores the end of a run.
 * @param table - The jobs of the home.
 * @param key - The run.
 * @returns What the home has instead; undefined if the run is the task's current one, so that the
 * home applies its end.
 */
export function explainIgnoredEnd(
  table: Pick<JobTable, 'findTask' | 'get'>,
  key: RunKey,
): IgnoredEnd | undefined {
  const { taskName, run, targetId } = key;
  const found = table.findTask(taskName);
  if (found === undefined) {
    const job = table.get(parseTaskName(taskName)?.jobId ?? taskName);
    if (job === undefined) return { reason: 'unknown-job' };
    return { reason: 'spec' in job ? 'unknown-task' : 'finished-job' };
  }
  const { phase, run: latestRun, targetId: placedOn } = found.task;
  const explain = (reason: IgnoredEndReason): IgnoredEnd => ({ reason, phase, latestRun });
  if (phase === 'placed' && run === latestRun && targetId === placedOn) return undefined;
  if (isFinished(found.row)) return explain('finished-job');
  if (run !== latestRun) return explain('other-run');
  if (phase === 'done') return explain('finished-task');
  return explain(phase === 'waiting' ? 'not-placed' : 'other-target');
}
