import type { LogLine } from './LogLine.js';

/** Why a line belongs to a story: it is about the job, or it tells what happened around it. */
export type StoryRole = 'own' | 'context';

/** A line with its place in a story. */
export interface StoryLine extends LogLine {
  readonly role: StoryRole;
  /** Time since the story's first own line, in milliseconds. */
  readonly sinceStartMs: number;
}

/** The longest time in which nothing was told of a job. */
export interface StoryGap {
  readonly lengthMs: number;
  /** The own lines before and after it. */
  readonly before: StoryLine;
  readonly after: StoryLine;
}

/** What the logs tell of one job. */
export interface JobStory {
  readonly subject: string;
  readonly lines: readonly StoryLine[];
  /** Instances that have written own lines, in the order of their first one. */
  readonly instances: readonly string[];
  /** How the runs of its tasks have ended, with their counts. */
  readonly endCounts: Readonly<Record<string, number>>;
  /** From the first own line to the first placement of a task, in milliseconds. */
  readonly firstPlacedAfterMs?: number;
  readonly longestGap?: StoryGap;
  /** Whether daemons left out lines meanwhile, so that the story may have holes. */
  readonly mayHaveHoles: boolean;
}
