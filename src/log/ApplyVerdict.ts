import type { RecordVerdict } from '../tables/index.js';

/** What became of an entry of the log. */
export type ApplyVerdict =
  | RecordVerdict
  /** The record stands on the log already; this entry changed nothing. */
  | { readonly type: 'repeated'; readonly first: RecordVerdict }
  /** The entry lies before what is applied. */
  | { readonly type: 'stale' };
