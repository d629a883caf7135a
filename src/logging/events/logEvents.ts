import type { LogEvent } from '../LogEvent.js';

/** Events 4000 to 4999: the platform's log, membership, homes and settings. */
export const LOG_EVENTS = {
  recordRejected: { number: 4001, level: 'warn', text: 'A record on the log was rejected.' },
  settingsInForce: { number: 4002, level: 'info', text: 'New settings are in force.' },
  logUnreachable: { number: 4003, level: 'warn', text: 'The log does not answer.' },
  logReachable: { number: 4004, level: 'info', text: 'The log answers again.' },
  instanceJoined: { number: 4005, level: 'info', text: 'An instance joined.' },
  instanceEnded: { number: 4006, level: 'info', text: 'An instance left or lapsed.' },
  leaseLost: { number: 4007, level: 'warn', text: 'This instance lost its lease.' },
  homeClaimed: { number: 4008, level: 'info', text: 'An instance became the home of a pool.' },
  homeReleased: { number: 4009, level: 'info', text: 'An instance gave up a pool.' },
  snapshotWritten: { number: 4010, level: 'info', text: 'A snapshot was written.' },
  snapshotLoaded: { number: 4011, level: 'info', text: 'A snapshot was loaded.' },
  logTruncated: {
    number: 4012,
    level: 'error',
    text: 'The log no longer keeps what comes next, and no snapshot holds it.',
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
