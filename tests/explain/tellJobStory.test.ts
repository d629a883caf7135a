import { describe, expect, it } from 'vitest';
import {
  formatJobStory,
  type JobStory,
  type LogLine,
  parseLogLines,
  tellJobStory,
} from '../../src/explain/index.js';
import { EVENT_CATALOGUE, type EventName } from '../../src/logging/index.js';

const JOB = '9f33afd4703d442a';
const START_MS = Date.parse('2026-10-03T14:24:00.000Z');

function makeLine(
  afterMs: number,
  event: EventName,
  fields: LogLine['fields'] = {},
  instance = 'home-1',
): LogLine {
  const { text } = EVENT_CATALOGUE[event];
  return { atMs: START_MS + afterMs, instance, event, text, fields };
}

function placed(afterMs: number, task: string, targetId: string): LogLine {
  return makeLine(afterMs, 'taskPlaced', { jobId: JOB, taskName: `${JOB}.0.0.${task}`, targetId });
}

const LINES: readonly LogLine[] = [
  makeLine(5_000, 'jobFinished', { jobId: JOB, state: 'completed' }),
  makeLine(0, 'jobAccepted', { jobId: JOB, pool: 'pages' }, 'entry-2'),
  placed(900, '0', 't1'),
  makeLine(4_900, 'taskEnded', { jobId: JOB, targetId: 't1', end: 'done' }),
  makeLine(300, 'tasksWait', { pool: 'pages' }, 'fleet-3'),
  makeLine(300, 'tasksWait', { pool: 'search' }, 'fleet-3'),
  makeLine(2_000, 'targetSilent', { targetId: 't1' }),
  makeLine(2_000, 'targetSilent', { targetId: 't9' }),
  makeLine(-2_500, 'taskHomeOpened', { partition: 4 }),
  makeLine(-2_500, 'taskHomeOpened', { partition: 5 }, 'stranger'),
  makeLine(-60_000, 'daemonStarted', {}),
  makeLine(1_000, 'jobAccepted', { jobId: `${JOB}0` }, 'entry-2'),
];

const tell = (lines: readonly LogLine[] = LINES): JobStory => tellJobStory(lines, JOB)!;

describe('tellJobStory', () => {
  it('puts the lines of all daemons in order, with what happened around the job', () => {
    const story = tell();
    expect(story.lines.map(({ event, role, sinceStartMs }) => [sinceStartMs, event, role])).toEqual(
      [
        [-2_500, 'taskHomeOpened', 'context'],
        [0, 'jobAccepted', 'own'],
        [300, 'tasksWait', 'context'],
        [900, 'taskPlaced', 'own'],
        [2_000, 'targetSilent', 'context'],
        [4_900, 'taskEnded', 'own'],
        [5_000, 'jobFinished', 'own'],
      ],
    );
    expect(story.instances).toEqual(['entry-2', 'home-1']);
  });

  it('tells how long the job waited, the longest silence and how its runs ended', () => {
    const { firstPlacedAfterMs, longestGap, endCounts, mayHaveHoles } = tell();
    expect({ firstPlacedAfterMs, endCounts, mayHaveHoles }).toEqual({
      firstPlacedAfterMs: 900,
      endCounts: { done: 1 },
      mayHaveHoles: false,
    });
    expect(longestGap).toMatchObject({ lengthMs: 4_000, before: { event: 'taskPlaced' } });
  });

  it('says so where a daemon of the story has left lines out', () => {
    const leftOut = makeLine(3_000, 'linesLeftOut', { counts: { taskEnded: 3 } });
    expect(tell([...LINES, leftOut]).mayHaveHoles).toBe(true);
    expect(formatJobStory(tell([...LINES, leftOut]))).toContain('the story may have holes');
  });

  it('shows an ignored end of the job, and when its ends were stored, however late', () => {
    const ignored = makeLine(5_500, 'endIgnored', { taskName: `${JOB}.0.0.0`, end: 'done' });
    const stored = makeLine(9_000, 'endsStored', { taskNames: ['x.0.0.1', `${JOB}.0.0.0`] });
    const others = makeLine(4_000, 'endsStored', { targetId: 't1', taskNames: [`${JOB}0.0.0.0`] });
    const { lines } = tell([...LINES, stored, others, ignored]);
    expect(lines.slice(-3).map(({ event, role }) => [event, role])).toEqual([
      ['jobFinished', 'own'],
      ['endIgnored', 'own'],
      ['endsStored', 'context'],
    ]);
    expect(lines.filter(({ event }) => event === 'endsStored')).toHaveLength(1);
  });

  it('knows nothing of a job that no line is about', () => {
    expect(tellJobStory(LINES, 'ffffffffffffffff')).toBeUndefined();
  });
});

describe('parseLogLines', () => {
  it('reads lines behind the words of a collector, and counts what is no line of a daemon', () => {
    const line = {
      at: '2026-10-03T14:24:00.250Z',
      number: 6001,
      event: 'jobAccepted',
      level: 'info',
      instance: 'entry-2',
      text: 'A durable job is stored.',
      jobId: JOB,
    };
    const text = ` 1.25 entry-2 ${JSON.stringify(line)}\n{"at":"cut\nnonsense\n\n`;
    const { lines, skippedCount } = parseLogLines(text);
    expect(skippedCount).toBe(2);
    expect(lines).toEqual([
      {
        atMs: START_MS + 250,
        instance: 'entry-2',
        event: 'jobAccepted',
        text: line.text,
        fields: { jobId: JOB },
      },
    ]);
  });
});

describe('formatJobStory', () => {
  it('gives each line its time, its instance and its fields, and sums up', () => {
    const text = formatJobStory(tell());
    expect(text).toContain(`+0.900 s   home-1 taskPlaced jobId=${JOB}`);
    expect(text).toContain('-2.500 s ~ home-1 taskHomeOpened partition=4');
    expect(text).toContain('first task given to a target after 0.900 s');
    expect(text).toContain('longest silence: 4.000 s, between taskPlaced and taskEnded');
    expect(text).toContain('last: jobFinished after 5.000 s');
  });
});
