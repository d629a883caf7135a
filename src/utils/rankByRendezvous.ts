import { hashText } from './hashText.js';

/**
 * Ranks candidates for a key by rendezvous hashing: a candidate that comes or goes changes the
 * first place of only its own share of the keys.
 * @param key - What is to be given to a candidate.
 * @param candidates - Names of the candidates.
 * @returns The candidates, the preferred one first.
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: hashText(`${candidate}|${key}`),
  }));
  return weighted
    .toSorted((a, b) => b.weight - a.weight || a.candidate.localeCompare(b.candidate))
    .map(({ candidate }) => candidate);
}
