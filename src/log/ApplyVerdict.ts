import type { RecordVerdict } from '../tables/index.js';

/** Result of applying an entry of the log. */
export type ApplyVerdict =
  | RecordVerdict
  /** An earlier entry holds the same record; this entry changed nothing. */
  | { readonly type: 'repeated'; readonly first: RecordVerdict }
  /** The entry precedes the next offset to apply. */
  | { readonly type: 'stale' };
