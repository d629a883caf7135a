import fc from 'fast-check';
import type {
  CallFate,
  FatedCall,
  TargetCondition,
} from '../../../standins/leasedTargets/CallFate.js';
import type { StepSpec } from '../../../src/jobs/index.js';
import { makeStep } from '../HomeWorld.js';
import { type FatesStep, listFewerFates } from './FatesStep.js';
import { listShorterSteps } from './shortenHistory.js';

/** Shapes of the jobs in a history. */
export type JobShape =
  | 'one-task'
  | 'three-tasks'
  | 'gang'
  /** A gang whose members all end as failed in a run that fails. */
  | 'gang-failing-as-one'
  | 'two-steps'
  | 'service';

/** A job of a history, and what its runs do by themselves. */
export interface DrawnJob {
  readonly shape: JobShape;
  /** How long a run takes, in milliseconds; one of a service never ends by itself. */
  readonly runMs: number;
  /** Count of the first runs of each task that end as failed. */
  readonly failureCount: number;
}

/** State of the store that lasts until it changes. */
export type StoreCondition = 'well' | 'rejects' | 'silent' | 'loses-answers';

/** One step of a history. Targets are named by a number that picks one of those that are up. */
export type HistoryStep =
  | { readonly type: 'submit'; readonly job: DrawnJob }
  | { readonly type: 'wait'; readonly forMs: number }
  | FatesStep
  | {
      readonly type: 'condition';
      readonly target: number;
      readonly condition: TargetCondition;
    }
  | { readonly type: 'store'; readonly condition: StoreCondition }
  /** The next home opens; the earlier one is killed, goes on, or is frozen until it thaws. */
  | { readonly type: 'replace-home'; readonly earlier: 'killed' | 'goes-on' | 'frozen' }
  /** The store gives the partition on while its home and one target are cut off from all else. */
  | {
      readonly type: 'deal';
      readonly target: number;
      readonly confirmedBeforeMs: number;
      readonly forMs: number;
    }
  | { readonly type: 'thaw' }
  | {
      readonly type: 'crash';
      readonly target: number;
      /** Whether the list of VMs tells at once, the next lifetime answers, or nobody does. */
      readonly shownBy: 'list' | 'next-lifetime' | 'nobody';
    }
  /** A target starts again under its id, and is listed so after a while. */
  | { readonly type: 'restart'; readonly target: number; readonly listedAfterMs: number }
  | { readonly type: 'unlist'; readonly target: number }
  | { readonly type: 'list-again' };

/** A drawn history. */
export type RunHistory = readonly HistoryStep[];

/** Lengths of time around those of a call, a report, a lease and its lapse, in milliseconds. */
const TIMES_MS = [2, 5, 10, 20, 50, 120, 200, 300, 450, 700, 1_800] as const;
const timeMs = fc.constantFrom(...TIMES_MS);
/** Time within which the lease of a silent target lapses and counts as lapsed. */
const LAPSE_MS = 1_800;
/** Tasks go to the first target first. */
const target = fc.constantFrom(0, 0, 1);

const job: fc.Arbitrary<DrawnJob> = fc.record({
  shape: fc.constantFrom<JobShape>('one-task', 'one-task', 'three-tasks', 'gang', 'two-steps'),
  runMs: fc.constantFrom(5, 5, 20, 100, 600, 2_500),
  failureCount: fc.constantFrom(0, 0, 0, 1, 2),
});

const fate: fc.Arbitrary<CallFate> = fc.oneof(
  { weight: 1, arbitrary: fc.constant<CallFate>({ type: 'request-lost' }) },
  { weight: 1, arbitrary: fc.constant<CallFate>({ type: 'answer-lost' }) },
  { weight: 2, arbitrary: fc.constant<CallFate>({ type: 'unhealthy' }) },
  { weight: 1, arbitrary: fc.constant<CallFate>({ type: 'no-room' }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('late'), afterMs: timeMs }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('slow'), afterMs: timeMs }) },
);

const fateStep: fc.Arbitrary<HistoryStep> = fc.record({
  type: fc.constant('fates'),
  target,
  call: fc.constantFrom<FatedCall>('start', 'start', 'start', 'stop', 'renew'),
  fates: fc.array(fate, { minLength: 1, maxLength: 4 }),
});

const step: fc.Arbitrary<HistoryStep> = fc.oneof(
  { weight: 7, arbitrary: fc.record({ type: fc.constant('submit'), job }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('wait'), forMs: timeMs }) },
  { weight: 1, arbitrary: fc.constant<HistoryStep>({ type: 'wait', forMs: LAPSE_MS }) },
  { weight: 10, arbitrary: fateStep },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('condition'),
      target,
      condition: fc.constantFrom<TargetCondition>('well', 'well', 'unhealthy', 'full', 'cut-off'),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('store'),
      condition: fc.constantFrom<StoreCondition>(
        'well',
        'well',
        'well',
        'rejects',
        'silent',
        'loses-answers',
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('replace-home'),
      earlier: fc.constantFrom('killed', 'goes-on', 'frozen'),
    }),
  },
  { weight: 1, arbitrary: fc.constant<HistoryStep>({ type: 'thaw' }) },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('crash'),
      target,
      shownBy: fc.constantFrom('list', 'next-lifetime', 'nobody'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('unlist'), target }) },
  { weight: 1, arbitrary: fc.constant<HistoryStep>({ type: 'list-again' }) },
);

/** Most steps of a history. */
const MAX_STEP_COUNT = 24;
/** Tasks of a service. */
const SERVICE_TASK_COUNT = 4;

function drawHistory(drawnStep: fc.Arbitrary<HistoryStep>): fc.Arbitrary<RunHistory> {
  return fc.array(drawnStep, { minLength: 1, maxLength: MAX_STEP_COUNT, size: 'max' });
}

/** Draws histories of the usual steps, with one of another kind for some of them. */
function drawMixedHistory(
  usualWeight: number,
  other: fc.WeightedArbitrary<HistoryStep>,
): fc.Arbitrary<RunHistory> {
  return drawHistory(fc.oneof({ weight: usualWeight, arbitrary: step }, other));
}

/** Draws histories. */
export const runHistory: fc.Arbitrary<RunHistory> = drawHistory(step);

/** Draws histories in which targets start again under their ids. */
export const rebirthHistory: fc.Arbitrary<RunHistory> = drawMixedHistory(12, {
  weight: 2,
  arbitrary: fc.record({ type: fc.constant('restart'), target, listedAfterMs: timeMs }),
});

/** Draws histories of gangs of which several members fail at once. */
export const gangHistory: fc.Arbitrary<RunHistory> = drawMixedHistory(8, {
  weight: 3,
  arbitrary: fc.record({
    type: fc.constant('submit'),
    job: fc.record({
      shape: fc.constantFrom<JobShape>('gang-failing-as-one', 'gang'),
      runMs: fc.constantFrom(5, 20, 100, 600),
      failureCount: fc.constantFrom(0, 1, 1, 2, 3),
    }),
  }),
});

/** Draws histories in which partitions are given on while a home and a target are cut off. */
export const dealHistory: fc.Arbitrary<RunHistory> = drawMixedHistory(8, {
  weight: 2,
  arbitrary: fc.record({
    type: fc.constant('deal'),
    target,
    confirmedBeforeMs: fc.constantFrom(0, 5, 50, 120, 200, 360),
    forMs: fc.constantFrom(700, 1_400, 1_800, 2_500),
  }),
});

/**
 * Lists the steps of a job.
 * @param shape - Shape of the job.
 * @returns The steps.
 */
export function makeSteps(shape: JobShape): readonly StepSpec[] {
  const steps: Record<JobShape, readonly StepSpec[]> = {
    'one-task': [makeStep()],
    'three-tasks': [makeStep({ taskCount: 3 })],
    gang: [makeStep({ taskCount: 2, isGang: true })],
    'gang-failing-as-one': [makeStep({ taskCount: 2, isGang: true })],
    'two-steps': [makeStep(), makeStep({ afterSteps: [0] })],
    service: [makeStep({ taskCount: SERVICE_TASK_COUNT, isLongRunning: true })],
  };
  return steps[shape];
}

/** Lists simpler forms of a step, the simplest first. */
function simplify(drawn: HistoryStep): readonly HistoryStep[] {
  switch (drawn.type) {
    case 'submit':
      return [{ ...drawn, job: { ...drawn.job, shape: 'one-task', failureCount: 0 } }];
    case 'fates':
      return listFewerFates(drawn);
    case 'replace-home':
      return [{ ...drawn, earlier: 'killed' }];
    case 'deal':
      return drawn.confirmedBeforeMs === 0 ? [] : [{ ...drawn, confirmedBeforeMs: 0 }];
    default:
      return [];
  }
}

/**
 * Lists histories that are shorter or simpler by one change.
 * @param history - The history.
 * @returns The histories, those to try first at the front.
 */
export function listShorterHistories(history: RunHistory): readonly RunHistory[] {
  return listShorterSteps(history, simplify);
}

/**
 * Describes a history for a report of its failure.
 * @param history - The history.
 * @returns One line for each step.
 */
export function describeHistory(history: RunHistory): string {
  return history.map((each, place) => `${place + 1}. ${JSON.stringify(each)}`).join('\n');
}
