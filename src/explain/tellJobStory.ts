import type { EventName } from '../logging/index.js';
import { groupBy } from '../utils/index.js';
import type { JobStory, StoryGap, StoryLine } from './JobStory.js';
import type { LogLine } from './LogLine.js';

/** What happened shortly before a job may be the cause of its fate: a takeover lasts 2.5 s. */
const LEAD_MS = 3_000;
/** Lines of what followed, such as a home that opens again. */
const TRAIL_MS = 1_000;

/** Events that tell of a target on which the job had tasks. */
const TARGET_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'targetAppeared',
  'targetAvoided',
  'targetDraining',
  'targetEvenAgain',
  'targetGone',
  'targetHeardAgain',
  'targetSilent',
  'targetUneven',
]);

/** Events that tell of a pool's room. */
const POOL_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['tasksFit', 'tasksWait']);

/** Events that tell what an instance could do: its homes, its dependencies, its start and stop. */
const INSTANCE_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'appendRejected',
  'appendUnanswered',
  'configurationReachable',
  'configurationUnreachable',
  'daemonStarted',
  'daemonStopped',
  'daemonStopping',
  'groupReachable',
  'groupUnreachable',
  'linesLeftOut',
  'peerConnected',
  'peerLost',
  'taskHomeClosed',
  'taskHomeOpened',
  'taskHomeOpenFailed',
  'writerFenced',
]);

/** Tells whether a line lists a task of a job among those of others, as a target's report does. */
function listsTaskOf(subject: string, { fields: { taskNames } }: LogLine): boolean {
  if (!Array.isArray(taskNames)) return false;
  return taskNames.some((taskName) => String(taskName).startsWith(`${subject}.`));
}

function isOwn({ fields }: LogLine, subject: string): boolean {
  const { jobId, requestId, taskName } = fields;
  const isOfTask = typeof taskName === 'string' && taskName.startsWith(`${subject}.`);
  return jobId === subject || requestId === subject || isOfTask;
}

function listField(lines: readonly LogLine[], field: string): ReadonlySet<unknown> {
  return new Set(lines.map(({ fields }) => fields[field]).filter((value) => value !== undefined));
}

/** Keeps the lines of what happened around a job to what it had to do with. */
function createContextFilter(own: readonly LogLine[], subject: string): (line: LogLine) => boolean {
  const targetIds = listField(own, 'targetId');
  const pools = listField(own, 'pool');
  const instances = new Set(own.map(({ instance }) => instance));
  const fromMs = own[0]!.atMs - LEAD_MS;
  const untilMs = own.at(-1)!.atMs + TRAIL_MS;
  return (line) => {
    const { atMs, event, instance, fields } = line;
    if (listsTaskOf(subject, line)) return true;
    if (atMs < fromMs || atMs > untilMs) return false;
    if (TARGET_EVENTS.has(event)) return targetIds.has(fields.targetId);
    if (POOL_EVENTS.has(event)) return pools.has(fields.pool);
    return INSTANCE_EVENTS.has(event) && instances.has(instance);
  };
}

function findLongestGap(own: readonly StoryLine[]): StoryGap | undefined {
  return own
    .slice(1)
    .map((after, place): StoryGap => {
      const before = own[place]!;
      return { lengthMs: after.atMs - before.atMs, before, after };
    })
    .reduce<StoryGap | undefined>(
      (longest, gap) => (longest === undefined || gap.lengthMs > longest.lengthMs ? gap : longest),
      undefined,
    );
}

function countEnds(own: readonly LogLine[]): Readonly<Record<string, number>> {
  const ends = own.filter(({ event }) => event === 'taskEnded');
  const groups = groupBy(ends, ({ fields }) => String(fields.end));
  return Object.fromEntries([...groups].map(([end, lines]) => [end, lines.length]));
}

/**
 * Puts together what the logs of several daemons tell of one job, in order.
 * @param lines - Lines of all daemons, in any order.
 * @param subject - Id of the job or request.
 * @returns Its story, or undefined where no line is about it.
 */
export function tellJobStory(lines: readonly LogLine[], subject: string): JobStory | undefined {
  const sorted = lines.toSorted((a, b) => a.atMs - b.atMs);
  const own = sorted.filter((line) => isOwn(line, subject));
  const [first] = own;
  if (first === undefined) return undefined;
  const isContext = createContextFilter(own, subject);
  const ownSet = new Set(own);
  const story = sorted
    .filter((line) => ownSet.has(line) || isContext(line))
    .map((line): StoryLine => ({
      ...line,
      role: ownSet.has(line) ? 'own' : 'context',
      sinceStartMs: line.atMs - first.atMs,
    }));
  const ownStory = story.filter(({ role }) => role === 'own');
  const longestGap = findLongestGap(ownStory);
  const placed = ownStory.find(({ event }) => event === 'taskPlaced');
  return {
    subject,
    lines: story,
    instances: [...new Set(own.map(({ instance }) => instance))],
    endCounts: countEnds(own),
    ...(placed && { firstPlacedAfterMs: placed.sinceStartMs }),
    ...(longestGap && { longestGap }),
    mayHaveHoles: story.some(({ event }) => event === 'linesLeftOut'),
  };
}
