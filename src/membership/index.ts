export { HeldLease, type HeldLeaseOptions } from './HeldLease.js';
export { HomeKeeper, type HomeDecision, type HomeKeeperOptions } from './HomeKeeper.js';
export { LapseWatch, type LapsedInstance, type LapseWatchOptions } from './LapseWatch.js';
export { DEFAULT_LEASE_TIMING, type LeaseTiming } from './LeaseTiming.js';
export { Membership, type MembershipOptions } from './Membership.js';
