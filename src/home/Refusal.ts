import type { PeerReply } from '../peers/index.js';

/** Reply of a home that refuses a request. */
export type Refusal = Extract<PeerReply, { readonly type: 'refused' }>;

/**
 * Builds a refusal.
 * @param kind - Kind of the error that the caller gets.
 * @param message - Reason as a sentence for people.
 * @returns The refusal.
 */
export function refuse(kind: Refusal['kind'], message: string): Refusal {
  return { type: 'refused', kind, message };
}
