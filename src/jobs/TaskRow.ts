/** Phase in the life cycle of a task. */
export type TaskPhase = 'waiting' | 'placed' | 'done';

/** Stored state of one task of a step. */
export interface TaskRow {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  readonly phase: TaskPhase;
  /** Number of the latest run, counted from 1; 0 before the first start. */
  readonly run: number;
  /** Target of the latest run; set only while the task is placed. */
  readonly targetId?: string;
  /** Number of runs that ended with a failure; each run of a gang counts with one member. */
  readonly failureCount: number;
  /** For a member of a gang, the latest run that counts with it. */
  readonly failedRun?: number;
  /** Number of target crashes that this task may have caused. */
  readonly crashCount: number;
  /** Runs that were given up as their targets were listed as gone; each may have failed unheard. */
  readonly unheardRuns?: readonly number[];
  /** Latest saved progress, from which the next run can resume. */
  readonly checkpoint?: string;
}

const SEPARATOR = '.';

/** Components of the name by which targets identify a task. */
export interface TaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/**
 * Formats the name of a task.
 * @param name - Components of the name.
 * @returns The name, which is unique across all jobs.
 */
export function formatTaskName({ jobId, occurrence, step, index }: TaskName): string {
  return [jobId, occurrence, step, index].join(SEPARATOR);
}

/**
 * Parses the name of a task.
 * @param text - The name.
 * @returns The components, or undefined if the text is not a task name.
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
