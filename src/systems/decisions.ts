import type { ErrorKind } from '../errors/index.js';

/** Decision of the placement about a queued request, or about a run that has to make room. */
export type PlacementDecision =
  | {
      readonly type: 'place';
      readonly attemptId: string;
      readonly vm: string;
      /** Cores to reserve for the run. */
      readonly coreCount: number;
      /** Memory to reserve for the run, in megabytes: the learned size of its kind. */
      readonly memoryMb: number;
      /** Why this VM was chosen, for the log line and `explain`. */
      readonly reason: string;
    }
  | {
      readonly type: 'refuse';
      readonly attemptId: string;
      readonly kind: ErrorKind;
      readonly reason: string;
      /** How long the caller should wait before it retries, in milliseconds. */
      readonly retryAfterMs: number;
    }
  | {
      /** Checkpoints or throttles a run to make room for urgent work. */
      readonly type: 'preempt';
      readonly grantId: string;
      readonly action: 'checkpoint' | 'throttle';
      readonly reason: string;
    }
  | {
      /** Lets a throttled run use its full processor share again. */
      readonly type: 'unthrottle';
      readonly grantId: string;
      readonly reason: string;
    };

/** Conclusion from a finished attempt about its VM or its request. */
export type RunVerdict =
  | {
      readonly type: 'quarantine';
      readonly vm: string;
      /** Monotonic time until which the VM gets no work. */
      readonly untilMs: number;
      readonly reason: string;
    }
  | { readonly type: 'restore'; readonly vm: string; readonly reason: string }
  | {
      /** The request fails on every VM and gets no further attempt. */
      readonly type: 'blame-job';
      readonly requestId: string;
      readonly reason: string;
    };

/** Decision about a wave in a pool. */
export type WaveDecision =
  | {
      readonly type: 'start-step';
      readonly wave: string;
      readonly vm: string;
      readonly reason: string;
    }
  | { readonly type: 'wait'; readonly wave: string; readonly reason: string }
  | { readonly type: 'stop-wave'; readonly wave: string; readonly reason: string };

/** Decision about the VMs that belong to a pool. */
export type CapacityDecision =
  | { readonly type: 'adopt'; readonly vm: string; readonly reason: string }
  | { readonly type: 'release'; readonly vm: string; readonly reason: string };

/** Whether a pool stays within its availability budget. */
export type BudgetVerdict =
  | { readonly type: 'within'; readonly spareSlotCount: number }
  | { readonly type: 'exceeded'; readonly reason: string };
