export type { ErrorAnswer, Outcome } from './ErrorAnswer.js';
export type { ErrorKind } from './ErrorKind.js';
export { ERROR_ANSWERS, EXIT_CODES } from './errorAnswers.js';
export { RattanliftError, type RattanliftErrorOptions } from './RattanliftError.js';
export { throwError, toRattanliftError } from './throwError.js';
