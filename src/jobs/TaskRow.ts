/** Where a task is in its life. */
export type TaskPhase = 'waiting' | 'placed' | 'done';

/** One task of a step as its job's record keeps it. */
export interface TaskRow {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  readonly phase: TaskPhase;
  /** Number of the latest start; 0 before the first. */
  readonly run: number;
  /** Target of the latest start; kept only while the task is placed. */
  readonly targetId?: string;
  /** Runs that ended by a failure. */
  readonly failureCount: number;
  /** Crashes of targets that this task may have caused. */
  readonly crashCount: number;
  /** Latest saved progress, from which a start can resume. */
  readonly checkpoint?: string;
}

const SEPARATOR = '.';

/** What a task is called at targets. */
export interface TaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/**
 * Formats the name of a task.
 * @param name - Its parts.
 * @returns The name, unique over all jobs.
 */
export function formatTaskName({ jobId, occurrence, step, index }: TaskName): string {
  return [jobId, occurrence, step, index].join(SEPARATOR);
}

/**
 * Parses the name of a task.
 * @param text - The name.
 * @returns Its parts, or undefined where it is no name of a task.
 */
export function parseTaskName(text: string): TaskName | undefined {
  const [jobId, ...rest] = text.split(SEPARATOR);
  const numbers = rest.map(Number);
  if (jobId === undefined || numbers.length !== 3 || !numbers.every(Number.isInteger)) {
    return undefined;
  }
  const [occurrence, step, index] = numbers as [number, number, number];
  return { jobId, occurrence, step, index };
}
