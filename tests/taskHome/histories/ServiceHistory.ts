import fc from 'fast-check';
import { drawFates, drawSlowCall, type FatesStep, lostCall } from './FatesStep.js';

/** One step of the history of a service. Targets are named by a number that picks one. */
export type ServiceStep =
  | { readonly type: 'wait'; readonly forMs: number }
  /** The home is paused until the next `thaw`, and keeps its partition. */
  | { readonly type: 'freeze' }
  | { readonly type: 'thaw' }
  /**
   * The home is paused; meanwhile what runs on some targets ends by its own fault, and then the
   * fleet's home drains others.
   */
  | {
      readonly type: 'pause';
      readonly forMs: number;
      readonly failing: readonly number[];
      readonly drained: readonly number[];
    }
  /** The next home opens; the earlier one is killed, goes on, or is paused until it thaws. */
  | { readonly type: 'replace-home'; readonly earlier: 'killed' | 'goes-on' | 'frozen' }
  /** What runs on a target ends by its own fault. */
  | { readonly type: 'fail'; readonly target: number }
  | { readonly type: 'crash'; readonly target: number }
  | { readonly type: 'cut-off'; readonly target: number }
  | { readonly type: 'reconnect'; readonly target: number }
  /** The fleet's home drains these targets alone from now on. */
  | { readonly type: 'drain'; readonly targets: readonly number[] }
  | FatesStep;

/** A history of a service of several tasks. */
export interface ServiceHistory {
  /** How many tasks may be away at a time. */
  readonly maxUnavailableCount: number;
  readonly steps: readonly ServiceStep[];
}

/** Number of targets; each takes one task of the service. */
export const SERVICE_TARGET_COUNT = 6;

/** Lengths of time around those of a report, its age and a lease, in milliseconds. */
const TIMES_MS = [20, 100, 300, 900, 1_500, 2_200, 3_200, 5_500] as const;
/** Most steps of a history. */
const MAX_STEP_COUNT = 24;

const timeMs = fc.constantFrom(...TIMES_MS);
const target = fc.nat({ max: SERVICE_TARGET_COUNT - 1 });

const step: fc.Arbitrary<ServiceStep> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('wait'), forMs: timeMs }) },
  { weight: 3, arbitrary: fc.constant<ServiceStep>({ type: 'freeze' }) },
  { weight: 3, arbitrary: fc.constant<ServiceStep>({ type: 'thaw' }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('pause'),
      forMs: fc.constantFrom(900, 2_200, 3_600, 4_000, 4_300),
      failing: fc.array(target, { maxLength: 2 }),
      drained: fc.array(target, { maxLength: SERVICE_TARGET_COUNT }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('replace-home'),
      earlier: fc.constantFrom('killed', 'goes-on', 'frozen'),
    }),
  },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('fail'), target }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('crash'), target }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cut-off'), target }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('reconnect'), target }) },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('drain'),
      targets: fc.array(target, { maxLength: SERVICE_TARGET_COUNT }),
    }),
  },
  // A stop that is held up on its way is no fault of the home.
  { weight: 1, arbitrary: drawFates(target, ['stop'], lostCall) },
  {
    weight: 1,
    arbitrary: drawFates(target, ['renew', 'start'], fc.oneof(lostCall, drawSlowCall(timeMs))),
  },
);

/** Draws histories. */
export const serviceHistory: fc.Arbitrary<ServiceHistory> = fc.record({
  maxUnavailableCount: fc.constantFrom(1, 1, 2),
  steps: fc.array(step, { minLength: 1, maxLength: MAX_STEP_COUNT, size: 'max' }),
});
