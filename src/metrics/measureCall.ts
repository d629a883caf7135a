import type { Clock } from '../utils/index.js';
import type { TimerName } from './METRIC_CATALOGUE.js';
import type { Metrics } from './Metrics.js';

/** A call whose time is measured. */
export interface MeasuredCall<Answer> {
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** Timer with the tags `call` and `result`. */
  readonly timer: TimerName;
  /** Value of the tag `call`. */
  readonly call: string;
  readonly run: () => Promise<Answer>;
  /** Tells the value of the tag `result` of an answer; `answered` where absent. */
  readonly describe?: (answer: Answer) => string;
  /** Tells the value of the tag `result` of an error; `failed` where absent. */
  readonly describeError?: (thrown: unknown) => string;
}

/**
 * Makes a call and records how long its answer or failure took.
 * @param measured - The call, and where its time goes.
 * @returns The answer.
 * @throws What the call throws.
 */
export async function measureCall<Answer>(measured: MeasuredCall<Answer>): Promise<Answer> {
  const { metrics, clock, timer, call, run } = measured;
  const startedAtMs = clock.monotonicMs();
  const note = (result: string): void =>
    metrics.timing(timer, clock.monotonicMs() - startedAtMs, { call, result });
  try {
    const answer = await run();
    note(measured.describe?.(answer) ?? 'answered');
    return answer;
  } catch (thrown) {
    note(measured.describeError?.(thrown) ?? 'failed');
    throw thrown;
  }
}
