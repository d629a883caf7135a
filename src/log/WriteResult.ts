/** Result of writing a record. */
export type WriteResult =
  | {
      readonly type: 'accepted';
      readonly offset: number;
      /** Ids of requests whose claims were refused because they were already claimed. */
      readonly refusedRequestIds?: readonly string[];
    }
  /** The record is on the log and was rejected, or it is invalid and was not written. */
  | { readonly type: 'rejected'; readonly reason: string }
  /** The record may be on the log and may be applied at any time. */
  | { readonly type: 'unknown'; readonly reason: string }
  /** The record was never sent, so it will not be applied. */
  | { readonly type: 'not-written'; readonly reason: string };
