import type { JobAnswer } from '../callers/index.js';
import { ERROR_ANSWERS, type ErrorKind, type Outcome, RattanliftError } from '../errors/index.js';
import type { FleetTables } from '../tables/index.js';

/** Options of {@link NotRunCheck}. */
export interface NotRunCheckOptions {
  readonly instance: string;
  readonly fleet: FleetTables;
  /** Reads the log to its end, and returns whether that succeeded. */
  readonly readToEnd: () => Promise<boolean>;
}

/** A failed answer. */
export type FailedAnswer = Extract<JobAnswer, { readonly type: 'failed' }>;

/**
 * Error kinds of refusals that the pool's home issues while it holds its lease. All claims of the
 * pool pass through the home, so it knows that no earlier attempt has run.
 */
const HOME_REFUSAL_KINDS: ReadonlySet<ErrorKind> = new Set([
  'queue-full',
  'quota-exceeded',
  'no-capacity',
  'job-too-large',
  'request-id-reused',
]);

function replace(answer: FailedAnswer, kind: ErrorKind, message: string): FailedAnswer {
  const error = new RattanliftError({ kind, message, cause: answer.error });
  return { ...answer, error, outcome: ERROR_ANSWERS[kind].outcome };
}

/** Checks in the log whether a non-idempotent request answered as "not run" has run earlier. */
export class NotRunCheck {
  private readonly options: NotRunCheckOptions;

  /**
   * Creates a check.
   * @param options - State from the log, and the function that updates it.
   */
  constructor(options: NotRunCheckOptions) {
    this.options = options;
  }

  /**
   * Finds the outcome of earlier attempts at a request that is refused as malformed.
   * @param requestId - Id of the request.
   * @returns The outcome, or undefined if no attempt is recorded.
   */
  async findEarlierOutcome(requestId: string): Promise<Outcome | undefined> {
    await this.options.readToEnd();
    const claim = this.options.fleet.claims.get(requestId);
    return claim === undefined ? undefined : (claim.outcome ?? 'unknown');
  }

  /**
   * Corrects an answer that says "not run".
   *
   * A caller may repeat a save whose first attempt has run, at an instance that is cut off, has
   * just resumed from a pause, or is stopping. That instance refuses the repeat, and the caller
   * would take "not run" as the outcome of the save. Therefore, the log is read to its end first.
   * If it cannot be read, only a request that its caller sends for the first time is certain not to
   * have run.
   * @param answer - The answer.
   * @param isRepeat - Whether the caller says that it has sent the request before.
   * @returns The same answer, or one with the outcome of the earlier attempt.
   */
  async correct(answer: FailedAnswer, isRepeat: boolean): Promise<FailedAnswer> {
    if (answer.outcome !== 'not-run' || HOME_REFUSAL_KINDS.has(answer.error.kind)) return answer;
    const isCurrent = await this.options.readToEnd();
    const claim = this.options.fleet.claims.get(answer.requestId);
    if (claim === undefined) {
      if (isCurrent || !isRepeat) return answer;
      return replace(answer, 'outcome-unknown', 'The outcome of an earlier attempt is unknown.');
    }
    switch (claim.outcome) {
      case 'not-run':
        return answer;
      case 'run':
        return replace(answer, 'already-run', 'An earlier attempt has run.');
      default:
        // An open claim of this instance belongs to the run that this answer ends, which sent
        // nothing: an instance never has two runs of the same request in progress.
        if (claim.outcome === undefined && claim.entry === this.options.instance) return answer;
        return replace(answer, 'outcome-unknown', 'An earlier attempt may have run.');
    }
  }
}
