import { z } from 'zod';
import { ERROR_ANSWERS, type ErrorKind, RattanliftError } from '../errors/index.js';
import type { SettingsProblem } from '../settings/index.js';

const MS_PER_S = 1000;

/** JSON body of an answer to a request that failed. */
export interface ErrorBody {
  readonly kind: ErrorKind;
  readonly outcome: 'run' | 'not-run' | 'unknown';
  readonly message: string;
  /** Field, header or settings path at fault. */
  readonly field?: string;
  /** When to come back, in seconds from now; absent where that cannot help. */
  readonly retryAfterS?: number;
  /** Every problem of the document, with `settings-invalid`. */
  readonly problems?: readonly SettingsProblem[];
}

/** Schema of what a client reads of a failed answer; it passes over what it does not know. */
const receivedErrorSchema = z
  .object({
    kind: z.string(),
    message: z.string(),
    field: z.string().optional(),
    retryAfterS: z.number().optional(),
  })
  .readonly();

/**
 * Describes an error in the words of the table of answers.
 * @param error - The error.
 * @param nowMs - Present time, in milliseconds since the Unix epoch.
 * @returns Body of the answer.
 */
export function toErrorBody(error: RattanliftError, nowMs: number): ErrorBody {
  const { outcome, retryAfterS: usualRetryAfterS } = ERROR_ANSWERS[error.kind];
  const retryAfterS =
    error.retryAtMs === undefined
      ? usualRetryAfterS
      : Math.max(0, Math.ceil((error.retryAtMs - nowMs) / MS_PER_S));
  return { kind: error.kind, outcome, message: error.message, field: error.field, retryAfterS };
}

/**
 * Reads the error out of a failed answer.
 * @param body - Body of the answer, parsed where it was JSON.
 * @param httpStatus - Status of the answer.
 * @param nowMs - Present time, in milliseconds since the Unix epoch.
 * @returns The error of the kind that the daemon named; `internal` for a body that names none.
 */
export function fromErrorBody(body: unknown, httpStatus: number, nowMs: number): RattanliftError {
  const result = receivedErrorSchema.safeParse(body);
  if (!result.success || !Object.hasOwn(ERROR_ANSWERS, result.data.kind)) {
    const message = `The answer has status ${httpStatus} and is not one of rattanlift's.`;
    return new RattanliftError({ kind: 'internal', message });
  }
  const { kind, message, field, retryAfterS } = result.data;
  const retryAtMs = retryAfterS === undefined ? undefined : nowMs + retryAfterS * MS_PER_S;
  return new RattanliftError({ kind: kind as ErrorKind, message, field, retryAtMs });
}
