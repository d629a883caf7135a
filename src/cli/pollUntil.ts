import { RattanliftError } from '../errors/index.js';
import type { CliIo } from './CliIo.js';

const POLL_INTERVAL_MS = 2000;
const MAX_FAILURES_IN_A_ROW = 30;

/** Options of {@link pollUntil}. */
export interface PollOptions<Value> {
  readonly io: CliIo;
  readonly poll: () => Promise<Value>;
  readonly isDone: (value: Value) => boolean;
  readonly onValue: (value: Value) => void;
  /** Time to give up at, in milliseconds on the monotonic clock. */
  readonly deadlineMs: number;
}

/** Polls once; undefined where no daemon could be reached. */
async function pollOnce<Value>(poll: () => Promise<Value>): Promise<Value | undefined> {
  try {
    return await poll();
  } catch (error) {
    if (error instanceof RattanliftError && error.kind === 'peer-unavailable') return undefined;
    throw error;
  }
}

/**
 * Asks again and again until the answer is final, past daemons that are being replaced.
 * @param options - What to ask, when it is final, and when to give up.
 * @returns The final answer, or undefined where the deadline came first.
 * @throws RattanliftError Of what the daemons answered, or `peer-unavailable` where none of them
 * could be reached for a while.
 */
export async function pollUntil<Value>(options: PollOptions<Value>): Promise<Value | undefined> {
  const { io, poll, isDone, onValue, deadlineMs } = options;
  let failureCount = 0;
  /* eslint-disable no-await-in-loop -- each poll follows the one before it */
  while (io.clock.monotonicMs() < deadlineMs) {
    const value = failureCount < MAX_FAILURES_IN_A_ROW ? await pollOnce(poll) : await poll();
    failureCount = value === undefined ? failureCount + 1 : 0;
    if (value !== undefined) onValue(value);
    if (value !== undefined && isDone(value)) return value;
    await io.sleep(POLL_INTERVAL_MS);
  }
  /* eslint-enable no-await-in-loop */
  return undefined;
}
