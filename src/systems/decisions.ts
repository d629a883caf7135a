import type { ErrorKind } from '../errors/index.js';

/** What the placement system decided for one queued request, or for a running one in its way. */
export type PlacementDecision =
  | {
      readonly type: 'place';
      readonly attemptId: string;
      readonly vm: string;
      /** Cores to set aside for the run. */
      readonly coreCount: number;
      /** Memory to set aside for the run: what its kind was measured to need. */
      readonly memoryMb: number;
      /** Why this VM, for the log line and `explain`. */
      readonly reason: string;
    }
  | {
      readonly type: 'refuse';
      readonly attemptId: string;
      readonly kind: ErrorKind;
      readonly reason: string;
      /** How long from now the caller should stay away, in milliseconds. */
      readonly retryAfterMs: number;
    }
  | {
      /** Makes room for urgent work. */
      readonly type: 'preempt';
      readonly grantId: string;
      readonly action: 'checkpoint' | 'throttle';
      readonly reason: string;
    }
  | {
      /** Gives a throttled run its processors back. */
      readonly type: 'unthrottle';
      readonly grantId: string;
      readonly reason: string;
    };

/** What the learning system concluded from a finished attempt. */
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
      /** The request fails wherever it goes: no further attempt. */
      readonly type: 'blame-job';
      readonly requestId: string;
      readonly reason: string;
    };

/** What the wave system decided for a pool. */
export type WaveDecision =
  | {
      readonly type: 'start-step';
      readonly wave: string;
      readonly vm: string;
      readonly reason: string;
    }
  | { readonly type: 'wait'; readonly wave: string; readonly reason: string }
  | { readonly type: 'stop-wave'; readonly wave: string; readonly reason: string };

/** What the capacity system decided for a pool. */
export type CapacityDecision =
  | { readonly type: 'adopt'; readonly vm: string; readonly reason: string }
  | { readonly type: 'release'; readonly vm: string; readonly reason: string };

/** Whether a pool stays within its availability budget. */
export type BudgetVerdict =
  | { readonly type: 'within'; readonly spareSlotCount: number }
  | { readonly type: 'exceeded'; readonly reason: string };
