export { LeasedTarget, type LapsedRun } from './LeasedTarget.js';
export type { LeasedTargetFaults } from './LeasedTargetFaults.js';
export { type BegunRun, LeasedTargetsStandIn } from './LeasedTargetsStandIn.js';
export { TargetAccess } from './TargetAccess.js';
