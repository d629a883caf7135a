import type { RecordVerdict } from '../../tables/index.js';

/** Verdict on a record that applies in full. */
export const ACCEPTED: RecordVerdict = { type: 'accepted' };

/**
 * Creates the verdict on a rejected record.
 * @param reason - Why it is rejected, as a sentence for the writer and the operator.
 * @returns The verdict.
 */
export function reject(reason: string): RecordVerdict {
  return { type: 'rejected', reason };
}
