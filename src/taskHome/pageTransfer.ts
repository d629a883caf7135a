/** Size of the largest page of newest records, in megabits. */
const PAGE_MEGABITS = 8;
/** Longest time for which several pages at once may occupy a link, in seconds. */
const MAX_OCCUPIED_S = 0.5;
/** Longest wait for renewals before a page, in seconds: a few round trips over a busy link. */
const MAX_RENEWALS_WAIT_S = 0.5;
/** Longest silence of a store that answers, in seconds: twice its latency at 1 % of its speed. */
const STORE_SILENCE_S = 1;
/** Time for which other answers may occupy a link beside a page, in seconds. */
const OTHER_ANSWERS_S = 0.5;
const MS_PER_S = 1_000;

function getPageS(linkMbps: number): number {
  return PAGE_MEGABITS / linkMbps;
}

/**
 * Computes how many pages of records an instance may read at the same time.
 *
 * Renewals of leases share the link with the pages. On a narrow link, the pages of several
 * partitions at once would hold renewals up for longer than a lease lasts.
 * @param linkMbps - Speed of the instance's link, in megabits per second.
 * @returns The number of pages; at least one.
 */
export function countPagesAtOnce(linkMbps: number): number {
  return Math.max(1, Math.floor((linkMbps * MAX_OCCUPIED_S) / PAGE_MEGABITS));
}

/**
 * Computes how long an answer may wait behind the pages that an instance reads.
 * @param linkMbps - Speed of the instance's link, in megabits per second.
 * @returns The time, in milliseconds.
 */
export function getLongestPageDelayMs(linkMbps: number): number {
  return Math.ceil(Math.max(MAX_OCCUPIED_S, getPageS(linkMbps)) * MS_PER_S);
}

/**
 * Computes how long a page may wait until renewals of leases have been sent. A page that is through
 * in a moment need not wait: it holds nothing up.
 * @param linkMbps - Speed of the instance's link, in megabits per second.
 * @returns The time, in milliseconds.
 */
export function getLongestRenewalsWaitMs(linkMbps: number): number {
  return Math.ceil(Math.min(MAX_RENEWALS_WAIT_S, getPageS(linkMbps)) * MS_PER_S);
}

/**
 * Computes how long a page may show no sign of arriving before it is given up.
 *
 * On a narrow link, a page waits behind another one for longer than a store stays silent. A page
 * that was given up too early would be requested again from its first byte, again and again, and
 * fill the link.
 * @param linkMbps - Speed of the instance's link, in megabits per second.
 * @returns The time, in milliseconds.
 */
export function getLongestPageSilenceMs(linkMbps: number): number {
  const behindPageS = getPageS(linkMbps) + OTHER_ANSWERS_S;
  return Math.ceil(Math.max(STORE_SILENCE_S, behindPageS) * MS_PER_S);
}
