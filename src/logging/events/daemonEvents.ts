import type { LogEvent } from '../LogEvent.js';

/** Events 9000 to 9999: the daemon itself. */
export const DAEMON_EVENTS = {
  daemonStarted: { number: 9001, level: 'info', text: 'The daemon is ready.' },
  daemonStopping: { number: 9002, level: 'info', text: 'The daemon stops taking work.' },
  daemonStopped: { number: 9003, level: 'info', text: 'The daemon has finished.' },
  unexpectedError: { number: 9004, level: 'error', text: 'Something failed unexpectedly.' },
  settingsReread: {
    number: 9005,
    level: 'info',
    text: 'The daemon was told to read its settings.',
  },
  linesLeftOut: { number: 9006, level: 'warn', text: 'Log lines over the budget were left out.' },
  metricsUnavailable: {
    number: 9007,
    level: 'warn',
    text: 'The port of the metrics cannot be opened; work goes on without.',
  },
  processPaused: { number: 9008, level: 'warn', text: 'The process did not run for a while.' },
  instanceLoad: {
    number: 9009,
    level: 'info',
    text: 'Processor time of an instance and delays of its timers, once a second.',
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
