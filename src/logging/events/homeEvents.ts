import type { LogEvent } from '../LogEvent.js';

/** Events 2000 to 2999: placement decisions of a pool's home. */
export const HOME_EVENTS = {
  jobPlaced: { number: 2001, level: 'info', text: 'The home placed a job on a VM.' },
  jobQueued: { number: 2002, level: 'info', text: 'The home queued a job.' },
  jobRefused: { number: 2003, level: 'info', text: 'The home refused a job.' },
  grantExpired: { number: 2004, level: 'warn', text: 'A grant ended without a report.' },
  vmQuarantined: { number: 2005, level: 'warn', text: 'A VM gets no work for a while.' },
  vmRestored: { number: 2006, level: 'info', text: 'A quarantined VM gets work again.' },
  jobPreempted: { number: 2007, level: 'info', text: 'A running job made room for urgent work.' },
  claimRefused: { number: 2008, level: 'warn', text: 'A claim on a request was refused.' },
  homeOpened: { number: 2009, level: 'info', text: 'This instance decides for a pool.' },
  homeClosed: { number: 2010, level: 'info', text: 'This instance stopped deciding for a pool.' },
} as const satisfies Readonly<Record<string, LogEvent>>;
