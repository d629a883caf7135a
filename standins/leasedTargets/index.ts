export { LeasedTarget } from './LeasedTarget.js';
export {
  type BegunRun,
  type LeasedTargetFaults,
  LeasedTargetsStandIn,
} from './LeasedTargetsStandIn.js';
