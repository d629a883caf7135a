/** Calls whose fate can be chosen. */
export type FatedCall = 'start' | 'stop' | 'renew';

/**
 * What happens to one call. `answer-lost` is carried out at once; `late` is carried out after the
 * given time, is judged by the state of the target then, and has no answer either.
 */
export type CallFate =
  | { readonly type: 'request-lost' }
  | { readonly type: 'answer-lost' }
  | { readonly type: 'late'; readonly afterMs: number }
  | { readonly type: 'slow'; readonly afterMs: number }
  | { readonly type: 'unhealthy' }
  | { readonly type: 'no-room' };

/** State of a target that lasts until it changes. */
export type TargetCondition = 'well' | 'unhealthy' | 'full' | 'cut-off';
