import { CALLER_EVENTS } from './events/callerEvents.js';
import { DAEMON_EVENTS } from './events/daemonEvents.js';
import { FLEET_EVENTS } from './events/fleetEvents.js';
import { HOME_EVENTS } from './events/homeEvents.js';
import { LOG_EVENTS } from './events/logEvents.js';
import { PEER_EVENTS } from './events/peerEvents.js';
import { TASK_EVENTS } from './events/taskEvents.js';

/** Every kind of log line by name; `docs/LOG-EVENTS.md` lists the same ones. */
export const EVENT_CATALOGUE = {
  ...CALLER_EVENTS,
  ...HOME_EVENTS,
  ...FLEET_EVENTS,
  ...LOG_EVENTS,
  ...PEER_EVENTS,
  ...TASK_EVENTS,
  ...DAEMON_EVENTS,
} as const;

/** Name of a kind of log line. */
export type EventName = keyof typeof EVENT_CATALOGUE;
