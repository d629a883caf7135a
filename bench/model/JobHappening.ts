import type { TraceEvent } from '../traces/index.js';

/** What is due at some time in a model of jobs. */
export type JobHappening =
  | { readonly type: 'trace'; readonly event: TraceEvent }
  | { readonly type: 'run-ends'; readonly attemptId: string; readonly endsAtMs: number }
  | { readonly type: 'checkpointed'; readonly attemptId: string }
  | { readonly type: 'loss-noticed'; readonly vm: string }
  | { readonly type: 'patience-over'; readonly id: string }
  | { readonly type: 'tick' };
