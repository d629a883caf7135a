import type { LogEvent } from '../LogEvent.js';

/** Events 1000 to 1999: requests of callers at their entry instance. */
export const CALLER_EVENTS = {
  requestReceived: { number: 1001, level: 'debug', text: 'A caller sent a request.' },
  requestRouted: { number: 1002, level: 'info', text: 'A request went to a target.' },
  requestRetried: { number: 1003, level: 'info', text: 'A request is tried on another VM.' },
  requestAnswered: { number: 1004, level: 'info', text: 'A request got its final answer.' },
  requestRefused: { number: 1005, level: 'info', text: 'A request was refused and did not run.' },
  answerCut: { number: 1006, level: 'warn', text: 'An answer was broken off before its end.' },
  badInput: { number: 1007, level: 'info', text: 'What a caller sent could not be accepted.' },
} as const satisfies Readonly<Record<string, LogEvent>>;
