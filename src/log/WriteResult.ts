/** What became of a record that was to be written. */
export type WriteResult =
  | {
      readonly type: 'accepted';
      readonly offset: number;
      /** Claims of the record that were refused because their request is claimed already. */
      readonly refusedRequestIds?: readonly string[];
    }
  /** It stands on the log and did not apply, or could never be written. */
  | { readonly type: 'rejected'; readonly reason: string }
  /** It may stand on the log and apply at any time. */
  | { readonly type: 'unknown'; readonly reason: string }
  /** It was never sent, so it certainly does not apply. */
  | { readonly type: 'not-written'; readonly reason: string };
