export { LeasedTarget, type LapsedRun } from './LeasedTarget.js';
export {
  type BegunRun,
  type LeasedTargetFaults,
  LeasedTargetsStandIn,
} from './LeasedTargetsStandIn.js';
export { TargetAccess } from './TargetAccess.js';
