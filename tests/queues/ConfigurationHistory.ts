import fc from 'fast-check';

/** What happens next in a history. */
export type ConfigurationStep =
  /** Operators publish, and do nothing more until the store has taken the record. */
  | { readonly type: 'publish'; readonly isLarge: boolean }
  | { readonly type: 'pause'; readonly forMs: number }
  /** The store turns the instance away while the next steps are taken. */
  | { readonly type: 'cut'; readonly forMs: number };

/** A drawn history of an instance behind a narrow link. */
export interface ConfigurationHistory {
  readonly linkMbps: number;
  readonly steps: readonly ConfigurationStep[];
}

const LONGEST_PAUSE_MS = 5_000;
const LONGEST_CUT_MS = 8_000;
const MOST_STEPS = 14;

const step: fc.Arbitrary<ConfigurationStep> = fc.oneof(
  fc.record({ type: fc.constant('publish' as const), isLarge: fc.boolean() }),
  fc.record({ type: fc.constant('publish' as const), isLarge: fc.constant(true) }),
  fc.record({ type: fc.constant('pause' as const), forMs: fc.nat(LONGEST_PAUSE_MS) }),
  fc.record({ type: fc.constant('cut' as const), forMs: fc.nat(LONGEST_CUT_MS) }),
);

/** Draws a history. */
export const configurationHistory: fc.Arbitrary<ConfigurationHistory> = fc.record({
  linkMbps: fc.constantFrom(7, 10, 14),
  steps: fc.array(step, { minLength: 2, maxLength: MOST_STEPS }),
});
