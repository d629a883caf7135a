import type { RecordVerdict } from '../../tables/index.js';

/** Verdict on a record that applies in full. */
export const ACCEPTED: RecordVerdict = { type: 'accepted' };

/**
 * Makes the verdict on a record that does not apply.
 * @param reason - Why, in a sentence for the writer and the operator.
 * @returns The verdict.
 */
export function reject(reason: string): RecordVerdict {
  return { type: 'rejected', reason };
}
