import type { LogEvent } from '../LogEvent.js';

/** Events 3000 to 3999: VMs, moves and maintenance waves. */
export const FLEET_EVENTS = {
  vmAdopted: { number: 3001, level: 'info', text: 'A pool adopted a VM.' },
  vmReleased: { number: 3002, level: 'info', text: 'A pool released a VM.' },
  stepStarted: { number: 3003, level: 'info', text: 'A wave began to maintain a VM.' },
  stepFinished: { number: 3004, level: 'info', text: 'A wave finished with a VM.' },
  waveWaiting: { number: 3005, level: 'info', text: 'A wave waits before its next step.' },
  waveStopped: { number: 3006, level: 'warn', text: 'A wave stopped itself.' },
  vmRebooting: { number: 3007, level: 'info', text: 'A drained VM was told to reboot.' },
  vmListUnreachable: {
    number: 3008,
    level: 'warn',
    text: "The platform's VM list does not answer.",
  },
  vmListReachable: { number: 3009, level: 'info', text: "The platform's VM list answers again." },
  vmUnreachable: { number: 3010, level: 'warn', text: 'A VM does not answer its probe.' },
  vmReachable: { number: 3011, level: 'info', text: 'A VM answers its probe again.' },
  stepDraining: { number: 3012, level: 'info', text: 'A VM drains before its reboot.' },
  vmOrdered: { number: 3013, level: 'info', text: 'An order for a VM was given.' },
  vmDraining: { number: 3014, level: 'info', text: 'A VM is emptied for its maintenance.' },
  waveFinished: { number: 3015, level: 'info', text: 'Every VM of a wave was maintained.' },
  fleetLookFailed: { number: 3016, level: 'warn', text: 'A look at the fleet broke off.' },
  vmChanged: { number: 3017, level: 'info', text: 'A VM is in another state, pool or lifetime.' },
  poolSeen: { number: 3019, level: 'info', text: 'VMs and demand of a pool, once a second.' },
  peakBegan: { number: 3020, level: 'info', text: 'A load peak of a pool has begun.' },
  peakEnded: { number: 3021, level: 'info', text: 'A load peak of a pool has ended.' },
  peakExpected: { number: 3022, level: 'info', text: 'A pool is expected to have a load peak.' },
  peakMissed: { number: 3023, level: 'info', text: 'Expected load peaks have not begun.' },
  vmLeaving: { number: 3018, level: 'info', text: 'A VM is emptied to change its pool.' },
} as const satisfies Readonly<Record<string, LogEvent>>;
