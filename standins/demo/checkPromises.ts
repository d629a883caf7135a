import type { TaskStart } from '../targets/index.js';
import type { DemoAnswer } from './sendJob.js';

type LogLine = Readonly<Record<string, unknown>>;

/** Requests by the promise that was broken for them; all empty when every promise held. */
export interface BrokenPromises {
  readonly 'non-idempotent requests that started more than once': readonly string[];
  readonly 'requests told not-run that started': readonly string[];
  readonly 'answers that belong to another request': readonly string[];
  readonly 'jobs without an answer': readonly string[];
  readonly 'started requests without a requestRouted line': readonly string[];
  readonly 'started requests without a jobPlaced line': readonly string[];
}

function listRequestIds(lines: readonly LogLine[], event: string): ReadonlySet<unknown> {
  return new Set(lines.filter((line) => line.event === event).map((line) => line.requestId));
}

function countStarts(starts: readonly TaskStart[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  starts.forEach(({ requestId }) => counts.set(requestId, (counts.get(requestId) ?? 0) + 1));
  return counts;
}

/**
 * Compares what callers were told and what daemons logged with what the targets started.
 * @param answers - Every answer.
 * @param starts - Every start on a target.
 * @param logLines - Every line of every daemon.
 * @returns The requests for which a promise was broken.
 */
export function checkPromises(
  answers: readonly DemoAnswer[],
  starts: readonly TaskStart[],
  logLines: readonly LogLine[],
): BrokenPromises {
  const startCounts = countStarts(starts);
  const startedIds = [...startCounts.keys()];
  const routedIds = listRequestIds(logLines, 'requestRouted');
  const placedIds = listRequestIds(logLines, 'jobPlaced');
  const listAnswers = (isBroken: (answer: DemoAnswer) => boolean): readonly string[] => [
    ...new Set(answers.filter(isBroken).map(({ job }) => job.requestId)),
  ];
  return {
    'non-idempotent requests that started more than once': listAnswers(
      ({ job }) => !job.idempotent && (startCounts.get(job.requestId) ?? 0) > 1,
    ),
    'requests told not-run that started': listAnswers(
      ({ outcome, job }) => outcome === 'not-run' && startCounts.has(job.requestId),
    ),
    'answers that belong to another request': listAnswers(({ isOwn }) => !isOwn),
    'jobs without an answer': listAnswers(({ outcome }) => outcome === 'none'),
    'started requests without a requestRouted line': startedIds.filter((id) => !routedIds.has(id)),
    'started requests without a jobPlaced line': startedIds.filter((id) => !placedIds.has(id)),
  };
}
