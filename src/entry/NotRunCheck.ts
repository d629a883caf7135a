import type { JobAnswer } from '../callers/index.js';
import { ERROR_ANSWERS, type ErrorKind, type Outcome, RattanliftError } from '../errors/index.js';
import type { FleetTables } from '../tables/index.js';

/** Options of {@link NotRunCheck}. */
export interface NotRunCheckOptions {
  readonly instance: string;
  readonly fleet: FleetTables;
  /** Reads the log to its end; tells whether that worked. */
  readonly readToEnd: () => Promise<boolean>;
}

/** A failed answer. */
export type FailedAnswer = Extract<JobAnswer, { readonly type: 'failed' }>;

/**
 * Kinds of refusal that the pool's home gives while its lease holds. All claims of the pool pass
 * through it, so it knows that no earlier attempt has run.
 */
const KINDS_OF_HOME: ReadonlySet<ErrorKind> = new Set([
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

/** Checks against the log that a non-idempotent request called "not run" has not run earlier. */
export class NotRunCheck {
  private readonly options: NotRunCheckOptions;

  /**
   * Creates a check.
   * @param options - State by the log, and the way to bring it up to date.
   */
  constructor(options: NotRunCheckOptions) {
    this.options = options;
  }

  /**
   * Finds what became of earlier attempts at a request that is refused for its form.
   * @param requestId - The request.
   * @returns The outcome, or undefined where no attempt is on record.
   */
  async findEarlierOutcome(requestId: string): Promise<Outcome | undefined> {
    await this.options.readToEnd();
    const claim = this.options.fleet.claims.get(requestId);
    return claim === undefined ? undefined : (claim.outcome ?? 'unknown');
  }

  /**
   * Corrects an answer that says "not run".
   *
   * Failure: a caller repeats a save whose first attempt has run, at an instance that is cut off,
   * has just woken from a pause, or is stopping. That instance refuses, and "not run" would be
   * taken for the fate of the save. So the log is read to its end before; where it cannot be read,
   * only a request that its caller sends for the first time is certain not to have run.
   * @param answer - The answer.
   * @param isRepeat - Whether the caller says that it has sent the request before.
   * @returns The same answer, or one that says what became of the earlier attempt.
   */
  async correct(answer: FailedAnswer, isRepeat: boolean): Promise<FailedAnswer> {
    if (answer.outcome !== 'not-run' || KINDS_OF_HOME.has(answer.error.kind)) return answer;
    const isCurrent = await this.options.readToEnd();
    const claim = this.options.fleet.claims.get(answer.requestId);
    if (claim === undefined) {
      if (isCurrent || !isRepeat) return answer;
      return replace(answer, 'outcome-unknown', 'What became of an earlier attempt is not known.');
    }
    switch (claim.outcome) {
      case 'not-run':
        return answer;
      case 'run':
        return replace(answer, 'already-run', 'An earlier attempt has run.');
      default:
        // An open claim of this instance belongs to the run that is answered here, which sent
        // nothing: no second run of a request goes on at the same instance.
        if (claim.outcome === undefined && claim.entry === this.options.instance) return answer;
        return replace(answer, 'outcome-unknown', 'An earlier attempt may have run.');
    }
  }
}
