export {
  type PlatformConfig,
  platformConfigSchema,
  readConfigFile,
  vmRowSchema,
} from './platformConfig.js';
export { NO_PLATFORM_FAULTS, type PlatformFaults } from './PlatformFaults.js';
export { PlatformStandIn, type PlatformStats } from './PlatformStandIn.js';
export { type Retention, StreamStore } from './StreamStore.js';
export { VmDirectory } from './VmDirectory.js';
