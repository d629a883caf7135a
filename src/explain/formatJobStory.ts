import type { JobStory, StoryLine } from './JobStory.js';
import type { FieldValue } from './LogLine.js';

const MS_PER_S = 1_000;
const DECIMALS = 3;

function formatSeconds(lengthMs: number): string {
  return `${(lengthMs / MS_PER_S).toFixed(DECIMALS)} s`;
}

function formatValue(value: FieldValue): string {
  if (typeof value === 'string') return value.includes(' ') ? JSON.stringify(value) : value;
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function formatLine({ role, sinceStartMs, instance, event, fields }: StoryLine): string {
  const sign = sinceStartMs < 0 ? '-' : '+';
  const at = `${sign}${formatSeconds(Math.abs(sinceStartMs))}`.padStart(10);
  const mark = role === 'own' ? ' ' : '~';
  const particulars = Object.entries(fields).map(
    ([name, value]) => `${name}=${formatValue(value)}`,
  );
  return [at, mark, instance, event, ...particulars].join(' ');
}

function formatSummary(story: JobStory): readonly string[] {
  const { firstPlacedAfterMs, longestGap, endCounts, instances, mayHaveHoles } = story;
  const last = story.lines.findLast(({ role }) => role === 'own')!;
  const ends = Object.entries(endCounts).map(([end, count]) => `${count} ${end}`);
  return [
    `last: ${last.event} after ${formatSeconds(last.sinceStartMs)}`,
    `told by: ${instances.join(', ')}`,
    firstPlacedAfterMs === undefined
      ? 'no task was given to a target'
      : `first task given to a target after ${formatSeconds(firstPlacedAfterMs)}`,
    ...(ends.length === 0 ? [] : [`runs ended: ${ends.join(', ')}`]),
    ...(longestGap === undefined
      ? []
      : [
          `longest silence: ${formatSeconds(longestGap.lengthMs)}, between ` +
            `${longestGap.before.event} and ${longestGap.after.event}`,
        ]),
    ...(mayHaveHoles ? ['daemons left out lines meanwhile: the story may have holes'] : []),
  ];
}

/**
 * Formats a story for people: its lines in order, then what stands out.
 * @param story - The story.
 * @returns Text of several lines; `~` marks what happened around the job.
 */
export function formatJobStory(story: JobStory): string {
  const started = new Date(story.lines.find(({ role }) => role === 'own')!.atMs).toISOString();
  return [
    `${story.subject}, first told of at ${started}`,
    ...story.lines.map(formatLine),
    '',
    ...formatSummary(story),
  ].join('\n');
}
