export { HeldLease, type HeldLeaseOptions } from './HeldLease.js';
export { HomePlanner, type HomeDecision, type HomePlannerOptions } from './HomePlanner.js';
export { LapseDetector, type LapsedInstance, type LapseDetectorOptions } from './LapseDetector.js';
export { DEFAULT_LEASE_TIMING, type LeaseTiming } from './LeaseTiming.js';
export { Membership, type MembershipOptions } from './Membership.js';
