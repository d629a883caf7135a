import type { JobState } from '../../callers/index.js';
import { ERROR_ANSWERS, EXIT_CODES, type ErrorKind } from '../../errors/index.js';
import { assertNever } from '../../utils/index.js';

const FAILED_HTTP_STATUS = 400;

/**
 * Writes a job's state for people.
 * @param job - The job.
 * @returns One line.
 */
export function formatJob(job: JobState): string {
  const end = [
    job.outcome,
    job.httpStatus === undefined ? undefined : `status ${job.httpStatus}`,
    job.errorKind,
    job.message,
  ].filter((part) => part !== undefined);
  const result = end.length > 0 ? `: ${end.join(', ')}` : '';
  return `${job.jobId} ${job.phase}${result} (request ${job.requestId}, pool ${job.pool})`;
}

/**
 * Gives the exit code of a job.
 * @param job - The job.
 * @returns 0 for a job that goes on, or that ran and was answered well.
 */
export function exitCodeOfJob(job: JobState): number {
  if (job.phase !== 'finished') return EXIT_CODES.ok;
  if (job.errorKind !== undefined && Object.hasOwn(ERROR_ANSWERS, job.errorKind)) {
    return ERROR_ANSWERS[job.errorKind as ErrorKind].exitCode;
  }
  const outcome = job.outcome ?? 'unknown';
  switch (outcome) {
    case 'run': {
      const isFailed = (job.httpStatus ?? FAILED_HTTP_STATUS) >= FAILED_HTTP_STATUS;
      return isFailed ? EXIT_CODES.jobFailed : EXIT_CODES.ok;
    }
    case 'not-run':
      return EXIT_CODES.unavailable;
    case 'unknown':
      return EXIT_CODES.unknownOutcome;
    default:
      return assertNever(outcome);
  }
}

/**
 * Reads the target's answer out of a finished job.
 * @param job - The job.
 * @returns The answer's bytes; none where it has none.
 */
export function answerOf(job: JobState): Buffer {
  return Buffer.from(job.bodyBase64 ?? '', 'base64');
}
