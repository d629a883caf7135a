import { describe, expect, it } from 'vitest';
import {
  advanceRun,
  hasUnansweredStart,
  INHERITED_RUN,
  PLACED_RUN,
  type RunEvent,
  type RunTransition,
} from '../../src/systems/index.js';

const PLACED: RunTransition = { life: PLACED_RUN, verdict: 'none' };
const INHERITED: RunTransition = { life: INHERITED_RUN, verdict: 'none' };

/** Lets events happen one after the other. */
function play(from: RunTransition, ...types: readonly RunEvent['type'][]): RunTransition {
  return types.reduce(({ life }, type) => advanceRun(life, { type }), from);
}

describe('advanceRun', () => {
  it('gives the task back if its only start was refused', () => {
    expect(play(PLACED, 'start-sent', 'start-refused').verdict).toBe('never-begins');
  });

  // Guards against a task that runs twice: the refused call was not the one that takes effect.
  it('stops a run of which an earlier start has no answer if a repeat is refused', () => {
    const unanswered = play(PLACED, 'start-sent', 'start-unanswered');
    const repeated = play(unanswered, 'reported-absent');
    expect(repeated.verdict).toBe('send-start');
    const refused = play(repeated, 'start-sent', 'start-refused');
    expect(refused.verdict).toBe('send-stop');
    const stopped = play(refused, 'stop-sent', 'stop-accepted');
    expect(stopped.verdict).toBe('none');
    expect(play(stopped, 'reported-absent').verdict).toBe('is-over');
  });

  it('gives a task of an earlier home back if the target, under the new term, refuses it', () => {
    const repeated = play(INHERITED, 'reported-absent');
    expect(repeated.verdict).toBe('send-start');
    expect(play(repeated, 'start-sent', 'start-refused').verdict).toBe('never-begins');
  });

  // Guards against a task that runs again although the report with its end is still on its way.
  it('waits for a report of a run that the target refuses as old', () => {
    const old = play(
      PLACED,
      'start-sent',
      'start-unanswered',
      'start-sent',
      'start-refused-as-old',
    );
    expect(old).toEqual({ life: { phase: 'over', hasOpenStart: false }, verdict: 'none' });
    expect(play(old, 'reported-absent').verdict).toBe('is-over');
  });

  // Guards against a run that counts as at work again while its stop is on its way.
  it.each(['start-accepted', 'start-refused', 'start-refused-as-old', 'start-unanswered'] as const)(
    'lets the stop decide where the answer to the start comes after it (%s)',
    (type) => {
      const { life, verdict } = play(PLACED, 'start-sent', 'stop-sent', type);
      expect({ phase: life.phase, verdict }).toEqual({ phase: 'stopping', verdict: 'none' });
    },
  );

  it('repeats a stop without an answer with each report', () => {
    const failed = play(PLACED, 'start-sent', 'start-accepted', 'stop-sent', 'stop-failed');
    expect(play(failed, 'reported-running').verdict).toBe('send-stop');
    expect(play(failed, 'reported-absent').verdict).toBe('send-stop');
  });

  it('concludes nothing from a report while an answer is awaited', () => {
    expect(play(PLACED, 'reported-absent')).toEqual(PLACED);
    expect(play(PLACED, 'start-sent', 'reported-absent').verdict).toBe('none');
    expect(play(PLACED, 'start-sent', 'stop-sent', 'reported-absent').verdict).toBe('none');
  });

  it('takes a run for lost that was begun and is gone without an end', () => {
    const started = play(PLACED, 'start-sent', 'reported-running');
    expect(started.life).toEqual({ phase: 'started', hasOpenStart: false });
    expect(play(started, 'reported-absent').verdict).toBe('is-over');
  });
});

describe('hasUnansweredStart', () => {
  // Guards against a task that runs twice: a start or its stop was under way when the lease lapsed.
  it.each<readonly [readonly RunEvent['type'][], boolean]>([
    [[], false],
    [['start-sent'], true],
    [['start-sent', 'start-unanswered'], true],
    [['start-sent', 'start-accepted'], false],
    [['start-sent', 'start-refused-as-old'], false],
    [['start-sent', 'stop-sent'], true],
    [['start-sent', 'stop-sent', 'stop-failed'], true],
    [['start-sent', 'stop-sent', 'stop-accepted'], false],
  ])('tells whether a run may begin later (%s: %s)', (types, expected) => {
    expect(hasUnansweredStart(play(PLACED, ...types).life)).toBe(expected);
  });
});
