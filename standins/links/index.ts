export { AttendedClock } from './AttendedClock.js';
export { type LinkedCall, LinkedCalls } from './LinkedCalls.js';
export { LinkedStore, measurePageRecord } from './LinkedStore.js';
export { LinkedTargets } from './LinkedTargets.js';
export { type LinkDirection, NarrowLink, type NarrowLinkOptions } from './NarrowLink.js';
