/** What became of a request: it ran, it certainly did not, or nobody can tell. */
export type Outcome = 'run' | 'not-run' | 'unknown';

/** How an error kind is answered to callers (HTTP) and operators (exit code). */
export interface ErrorAnswer {
  readonly httpStatus: number;
  readonly outcome: Outcome;
  /** Default delay that the answer names in `Retry-After`; absent where a retry cannot help. */
  readonly retryAfterS?: number;
  readonly exitCode: number;
}
