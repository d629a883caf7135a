import type { LogEvent } from '../LogEvent.js';

/** Events 5000 to 5999: connections between instances. */
export const PEER_EVENTS = {
  peerConnected: { number: 5001, level: 'info', text: 'A connection to a peer is up.' },
  peerLost: { number: 5002, level: 'warn', text: 'A connection to a peer is gone.' },
  replyDropped: { number: 5003, level: 'warn', text: 'A late or unknown reply was dropped.' },
  frameRejected: {
    number: 5004,
    level: 'warn',
    text: 'A peer broke the protocol and was cut off.',
  },
  peerMismatched: { number: 5005, level: 'warn', text: 'A peer expected another instance here.' },
  peerHandlerFailed: { number: 5006, level: 'error', text: 'Handling a peer request failed.' },
} as const satisfies Readonly<Record<string, LogEvent>>;
