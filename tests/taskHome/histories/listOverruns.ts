import type { WatchedRun } from './RunWatch.js';

/** Input of {@link listOverruns}. */
export interface ListOverrunsInput {
  readonly runs: readonly WatchedRun[];
  /** Names of the tasks of one step. */
  readonly taskNames: readonly string[];
  readonly maxUnavailableCount: number;
}

/** Time without a run from which a task is away whatever ended it, in milliseconds. */
const AWAY_AFTER_MS = 4_500;

/** Ends that the system has caused, after which a task is away at once. */
const CAUSED_ENDS: ReadonlySet<WatchedRun['end']> = new Set<WatchedRun['end']>([
  'stopped',
  'lapsed',
]);

/** Tells whether a task is away at a moment: the system ended it, or it stands for a while. */
function isAway(runs: readonly WatchedRun[], atMs: number): boolean {
  const begun = runs.filter(({ begunAtMs }) => begunAtMs <= atMs);
  if (begun.some(({ endedAtMs = Infinity }) => endedAtMs > atMs)) return false;
  const last = begun.toSorted((a, b) => a.endedAtMs! - b.endedAtMs!).at(-1);
  return CAUSED_ENDS.has(last?.end) || atMs - (last?.endedAtMs ?? 0) >= AWAY_AFTER_MS;
}

/**
 * Lists the stops that made more tasks of a step unavailable than may be.
 * @param input - The runs of the step, and its limit.
 * @returns A sentence for each, in the order in which the runs began.
 */
export function listOverruns(input: ListOverrunsInput): readonly string[] {
  const { runs, taskNames, maxUnavailableCount } = input;
  return runs
    .filter(({ end }) => end === 'stopped')
    .flatMap(({ taskName, run, targetId, endedAtMs }) => {
      const others = taskNames.filter((name) => name !== taskName);
      const away = others.filter((name) =>
        isAway(
          runs.filter((other) => other.taskName === name),
          endedAtMs!,
        ),
      );
      if (away.length < maxUnavailableCount) return [];
      const stopped = `run ${run} of ${taskName} on ${targetId} was stopped at ${endedAtMs} ms`;
      return [`${stopped} while ${away.join(', ')} were away`];
    });
}
