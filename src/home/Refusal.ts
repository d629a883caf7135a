import type { PeerReply } from '../peers/index.js';

/** Answer of a home that does not give what was asked. */
export type Refusal = Extract<PeerReply, { readonly type: 'refused' }>;

/**
 * Builds a refusal.
 * @param kind - Kind of the error that the caller is told.
 * @param message - What happened, in a sentence for a person.
 * @returns The refusal.
 */
export function refuse(kind: Refusal['kind'], message: string): Refusal {
  return { type: 'refused', kind, message };
}
