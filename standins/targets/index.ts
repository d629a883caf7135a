export { type FleetShape, makeFleet } from './makeFleet.js';
export { NO_TARGET_FAULTS, type TargetFaults } from './TargetFaults.js';
export { TargetStandIn } from './TargetStandIn.js';
export { type TargetsConfig, targetsConfigSchema, type TargetVmSpec } from './targetsConfig.js';
export { TargetVm, type TargetVmOptions, type TaskOrder, type TaskStart } from './TargetVm.js';
