export { HeldLease, type HeldLeaseOptions } from './HeldLease.js';
export {
  HomePlanner as HomePlanner,
  type HomeDecision,
  type HomePlannerOptions as HomePlannerOptions,
} from './HomePlanner.js';
export {
  LapseDetector as LapseDetector,
  type LapsedInstance,
  type LapseDetectorOptions as LapseDetectorOptions,
} from './LapseDetector.js';
export { DEFAULT_LEASE_TIMING, type LeaseTiming } from './LeaseTiming.js';
export { Membership, type MembershipOptions } from './Membership.js';
