import type { DurableJobRow } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import type { GetWeight } from './orderByShare.js';

/** Time over which the jobs of an organisation are counted against its weight, in milliseconds. */
const WINDOW_MS = 1_000;

/**
 * Lists the jobs that have not begun and that their organisations have sent beyond their weight, in
 * jobs a second. Each pool counts for itself, as rushes take turns among the pools.
 *
 * The load that it answers: one organisation sends many times its usual. What it sends beyond its
 * weight is accepted and waits until nothing else does; a refusal would only bring the same jobs
 * again.
 * @param rows - The unfinished jobs.
 * @param getWeight - Gets the weight of an organisation.
 * @returns The jobs.
 */
export function listBeyondShare(
  rows: readonly DurableJobRow[],
  getWeight: GetWeight,
): ReadonlySet<DurableJobRow> {
  const owned = rows.filter(({ spec }) => spec.organisation !== undefined);
  const byShare = groupBy(
    owned.toSorted((a, b) => a.spec.submittedAtMs - b.spec.submittedAtMs),
    ({ spec }) => `${spec.terms.pool}/${spec.organisation}`,
  );
  const beyond = [...byShare.values()].flatMap((own) => {
    const weight = Math.max(1, Math.floor(getWeight(own[0]!.spec.organisation!)));
    return own.filter(({ spec }, index) => {
      const earlier = own[index - weight];
      return earlier !== undefined && spec.submittedAtMs - earlier.spec.submittedAtMs < WINDOW_MS;
    });
  });
  return new Set(beyond.filter(({ state }) => state === 'queued'));
}
