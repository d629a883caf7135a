import { expect } from 'vitest';
import type { StartRefusal } from '../../src/targets/index.js';
import type { HomeWorld } from './HomeWorld.js';
import { StartScene } from './StartScene.js';

/** Every reason for which a repeat may be refused while the first call is under way. */
export const REFUSALS: readonly StartRefusal[] = [
  'unhealthy',
  'no-room',
  'lease-past',
  'bad-ticket',
  'malformed',
];

/** What becomes of a run whose start was carried out late. */
export const LATE_ENDINGS = ['done', 'failed', 'done before its stop', 'stopped or kept'] as const;

/** What becomes of a run whose start was carried out late. */
export type LateEnding = (typeof LATE_ENDINGS)[number];

/** Name of the one task. */
export const TASK_NAME = 'a.0.0.0';

/** Every combination of a refusal and an ending, by their names. */
export const REFUSED_RUNS: readonly (readonly [StartRefusal, LateEnding])[] = REFUSALS.flatMap(
  (reason) => LATE_ENDINGS.map((ending) => [reason, ending] as const),
);

/**
 * Carries the starts that `t1` holds up out, and lets what has begun by them end.
 * @param world - The targets.
 * @param ending - How it ends.
 */
export async function runLate({ targets }: HomeWorld, ending: LateEnding): Promise<void> {
  const target = targets.get('t1');
  const isRunning = (): boolean => target.runningNames.includes(TASK_NAME);
  if (ending === 'done before its stop') targets.setFaults('t1', { appliesStopsLate: true });
  targets.applyLateStarts('t1');
  if (!isRunning()) return;
  switch (ending) {
    case 'done':
    case 'failed':
      target.end(TASK_NAME, ending);
      return;
    case 'done before its stop':
      await StartScene.mayCome(() => targets.countLateStops('t1') > 0);
      target.end(TASK_NAME, 'done');
      targets.applyLateStops('t1');
      return;
    case 'stopped or kept':
      await StartScene.mayCome(() => !isRunning());
      return;
    default:
      ending satisfies never;
  }
}

/**
 * Works until the job is over, and checks that its task has begun as often as is allowed. Where the
 * late run has failed, so does each further one.
 * @param scene - The scene.
 * @param world - The targets.
 * @param refusal - Why the repeat was refused, and how the late run ended.
 */
export async function expectAllowedBegins(
  scene: StartScene,
  { targets }: HomeWorld,
  [reason, ending]: readonly [StartRefusal, LateEnding],
): Promise<void> {
  const end = ending === 'failed' ? 'failed' : 'done';
  await scene.complete('a', end);
  const { beginCount, ...outcome } = scene.describe('a');
  const state = end === 'failed' ? 'failed' : 'completed';
  const hasBegunLate = targets.begun.some(({ targetId, run }) => targetId === 't1' && run === 1);
  // A malformed start counts as an attempt where the run never begins.
  const fewest = ending === 'failed' && (hasBegunLate || reason !== 'malformed') ? 2 : 1;
  const most = ending === 'failed' || ending === 'stopped or kept' ? 2 : 1;
  expect(outcome).toEqual({ violations: [], state });
  expect([fewest, most]).toContain(beginCount);
}
