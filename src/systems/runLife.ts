import { assertNever } from '../utils/index.js';

/**
 * Phase of a run from its placement to its end.
 *
 * - `unsent`: no home has sent its start.
 * - `starting`: a start was sent; its answer has not arrived yet.
 * - `unanswered`: the target may have begun the run, or may do so later.
 * - `started`: the target has begun the run.
 * - `over`: the target refuses the run as one that has ended or was stopped there.
 * - `stopping`, `stop-unanswered`: a stop was sent; the target may carry it out later.
 * - `stopped`: the target has accepted the stop, and refuses a start of the run from then on.
 */
export type RunPhase =
  | 'unsent'
  | 'starting'
  | 'unanswered'
  | 'started'
  | 'over'
  | 'stopping'
  | 'stop-unanswered'
  | 'stopped';

/** What is known of a run. */
export interface RunLife {
  readonly phase: RunPhase;
  /** Whether a start of the run has no answer, so that the target may carry it out later. */
  readonly hasOpenStart: boolean;
}

/** What a home does with a run, or learns of it. */
export type RunEvent =
  | { readonly type: 'start-sent' }
  | { readonly type: 'start-accepted' }
  | { readonly type: 'start-unanswered' }
  /** The target did nothing for this call; an earlier one may still take effect. */
  | { readonly type: 'start-refused' }
  /** The run has ended or was stopped on the target. */
  | { readonly type: 'start-refused-as-old' }
  | { readonly type: 'stop-sent' }
  | { readonly type: 'stop-accepted' }
  /** The stop got no answer, or the target refused to carry it out. */
  | { readonly type: 'stop-failed' }
  /** A report that was requested after the latest answer, under this home's term, has the run. */
  | { readonly type: 'reported-running' }
  /** Such a report has neither the run nor its end. */
  | { readonly type: 'reported-absent' };

/**
 * What follows from an event. After `never-begins` and `is-over` the task may be placed again.
 *
 * - `never-begins`: the target has not begun the run and never will.
 * - `is-over`: nothing of the run is left on the target, and no report has its end.
 */
export type RunLifeVerdict = 'none' | 'send-start' | 'send-stop' | 'never-begins' | 'is-over';

/** A run after an event, and what follows. */
export interface RunTransition {
  readonly life: RunLife;
  readonly verdict: RunLifeVerdict;
}

/** A run that this home has placed and not yet started. */
export const PLACED_RUN: RunLife = { phase: 'unsent', hasOpenStart: false };

/**
 * A run that an earlier home has placed and may have started. The target refuses late starts of
 * that home: a report, which is under the new term, precedes every start that this home sends.
 */
export const INHERITED_RUN: RunLife = { phase: 'unanswered', hasOpenStart: false };

/** Phases of a run that is being stopped. */
export const STOP_PHASES: ReadonlySet<RunPhase> = new Set([
  'stopping',
  'stop-unanswered',
  'stopped',
]);

/**
 * Tells whether a start of a run may take effect later, without a further one.
 * @param life - What is known of the run.
 * @returns Whether a start is or may be without an answer, and the target has accepted no stop.
 */
export function hasUnansweredStart({ phase, hasOpenStart }: RunLife): boolean {
  // A stop may have been sent while a start was under way.
  const isOpen = phase === 'starting' || phase === 'stopping' || phase === 'stop-unanswered';
  return hasOpenStart || isOpen;
}

function stay(life: RunLife, verdict: RunLifeVerdict = 'none'): RunTransition {
  return { life, verdict };
}

function enter(phase: RunPhase, hasOpenStart = false): RunTransition {
  return { life: { phase, hasOpenStart }, verdict: 'none' };
}

/** A refusal tells of the call that it answers, and nothing of one without an answer before it. */
function handleRefusal(life: RunLife): RunTransition {
  return stay(life, life.hasOpenStart ? 'send-stop' : 'never-begins');
}

function handleStartAnswer(life: RunLife, event: 'accepted' | 'refused' | 'old'): RunTransition {
  // A start that is answered while its run is being stopped changes nothing: the stop decides.
  if (life.phase !== 'starting') return stay(life);
  switch (event) {
    case 'accepted':
      return enter('started');
    case 'old':
      return enter('over');
    case 'refused':
      return handleRefusal(life);
    default:
      return assertNever(event);
  }
}

function handleReportedRunning(life: RunLife): RunTransition {
  switch (life.phase) {
    case 'starting':
    case 'unanswered':
      return enter('started');
    case 'stop-unanswered':
      return stay(life, 'send-stop');
    case 'unsent':
    case 'started':
    case 'over':
    case 'stopping':
    case 'stopped':
      return stay(life);
    default:
      return assertNever(life.phase);
  }
}

function handleReportedAbsent(life: RunLife): RunTransition {
  switch (life.phase) {
    case 'unsent':
    case 'starting':
    case 'stopping':
      return stay(life);
    case 'unanswered':
      return stay(life, 'send-start');
    case 'stop-unanswered':
      return stay(life, 'send-stop');
    case 'started':
    case 'over':
    case 'stopped':
      return stay(life, 'is-over');
    default:
      return assertNever(life.phase);
  }
}

/**
 * Determines what is known of a run after an event, and what follows.
 *
 * A call without an answer may be carried out seconds later, after newer calls. So the answer to
 * one call tells nothing of another one: a task may be placed again only once every start of its
 * run was answered with a refusal, the target has accepted a stop, or it has refused the run as
 * old; and, but for the first of these, once a later report shows that the run is gone.
 * @param life - What was known of the run.
 * @param event - What the home does or learns.
 * @returns What is known now, and what follows.
 */
export function advanceRun(life: RunLife, event: RunEvent): RunTransition {
  const { phase, hasOpenStart } = life;
  switch (event.type) {
    case 'start-sent':
      return enter('starting', hasOpenStart);
    case 'start-accepted':
      return handleStartAnswer(life, 'accepted');
    case 'start-refused':
      return handleStartAnswer(life, 'refused');
    case 'start-refused-as-old':
      return handleStartAnswer(life, 'old');
    case 'start-unanswered':
      return enter(phase === 'starting' ? 'unanswered' : phase, true);
    case 'stop-sent':
      return enter('stopping', hasOpenStart);
    case 'stop-accepted':
      return phase === 'stopping' ? enter('stopped') : stay(life);
    case 'stop-failed':
      return phase === 'stopping' ? enter('stop-unanswered', hasOpenStart) : stay(life);
    case 'reported-running':
      return handleReportedRunning(life);
    case 'reported-absent':
      return handleReportedAbsent(life);
    default:
      return assertNever(event);
  }
}
