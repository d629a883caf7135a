import type { ErrorAnswer } from './ErrorAnswer.js';
import type { ErrorKind } from './ErrorKind.js';

/** Exit codes of the command line, by class of error. */
export const EXIT_CODES = {
  ok: 0,
  internal: 1,
  usage: 2,
  invalid: 3,
  conflict: 4,
  notFound: 5,
  unavailable: 6,
  jobFailed: 7,
  unknownOutcome: 8,
  denied: 9,
} as const;

/** The closed table from error kind to answer. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  'bad-request': { httpStatus: 400, outcome: 'not-run', exitCode: EXIT_CODES.invalid },
  'body-too-large': { httpStatus: 413, outcome: 'not-run', exitCode: EXIT_CODES.invalid },
  'key-rejected': { httpStatus: 401, outcome: 'not-run', exitCode: EXIT_CODES.denied },
  'unknown-pool': { httpStatus: 404, outcome: 'not-run', exitCode: EXIT_CODES.notFound },
  'unknown-job': { httpStatus: 404, outcome: 'unknown', exitCode: EXIT_CODES.notFound },
  'unknown-vm': { httpStatus: 404, outcome: 'not-run', exitCode: EXIT_CODES.notFound },
  'unknown-wave': { httpStatus: 404, outcome: 'not-run', exitCode: EXIT_CODES.notFound },
  'deadline-past': { httpStatus: 422, outcome: 'not-run', exitCode: EXIT_CODES.invalid },
  'job-too-large': { httpStatus: 422, outcome: 'not-run', exitCode: EXIT_CODES.invalid },
  'quota-exceeded': {
    httpStatus: 429,
    outcome: 'not-run',
    retryAfterS: 2,
    exitCode: EXIT_CODES.unavailable,
  },
  'queue-full': {
    httpStatus: 429,
    outcome: 'not-run',
    retryAfterS: 2,
    exitCode: EXIT_CODES.unavailable,
  },
  'no-capacity': {
    httpStatus: 503,
    outcome: 'not-run',
    retryAfterS: 5,
    exitCode: EXIT_CODES.unavailable,
  },
  'home-unavailable': {
    httpStatus: 503,
    outcome: 'not-run',
    retryAfterS: 3,
    exitCode: EXIT_CODES.unavailable,
  },
  'log-unavailable': {
    httpStatus: 503,
    outcome: 'not-run',
    retryAfterS: 2,
    exitCode: EXIT_CODES.unavailable,
  },
  'shutting-down': {
    httpStatus: 503,
    outcome: 'not-run',
    retryAfterS: 1,
    exitCode: EXIT_CODES.unavailable,
  },
  'target-refused': {
    httpStatus: 503,
    outcome: 'not-run',
    retryAfterS: 1,
    exitCode: EXIT_CODES.unavailable,
  },
  'target-silent': { httpStatus: 504, outcome: 'unknown', exitCode: EXIT_CODES.unknownOutcome },
  'target-failed': { httpStatus: 502, outcome: 'run', exitCode: EXIT_CODES.jobFailed },
  'answer-cut': { httpStatus: 502, outcome: 'unknown', exitCode: EXIT_CODES.unknownOutcome },
  cancelled: { httpStatus: 409, outcome: 'not-run', exitCode: EXIT_CODES.jobFailed },
  'already-running': {
    httpStatus: 409,
    outcome: 'unknown',
    retryAfterS: 1,
    exitCode: EXIT_CODES.conflict,
  },
  'already-run': { httpStatus: 409, outcome: 'run', exitCode: EXIT_CODES.conflict },
  'outcome-unknown': { httpStatus: 409, outcome: 'unknown', exitCode: EXIT_CODES.unknownOutcome },
  'request-id-reused': { httpStatus: 422, outcome: 'not-run', exitCode: EXIT_CODES.invalid },
  'settings-invalid': { httpStatus: 422, outcome: 'not-run', exitCode: EXIT_CODES.invalid },
  'settings-conflict': { httpStatus: 409, outcome: 'not-run', exitCode: EXIT_CODES.conflict },
  'wave-conflict': { httpStatus: 409, outcome: 'not-run', exitCode: EXIT_CODES.conflict },
  'peer-unavailable': {
    httpStatus: 503,
    outcome: 'unknown',
    retryAfterS: 1,
    exitCode: EXIT_CODES.unavailable,
  },
  internal: { httpStatus: 500, outcome: 'unknown', exitCode: EXIT_CODES.internal },
};
