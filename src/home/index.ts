export { ClaimRegistry, type ClaimRegistryOptions } from './ClaimRegistry.js';
export type { Refusal } from './Refusal.js';
export { ExplainLog } from './ExplainLog.js';
export { GRANT_DURATION_MS, type InheritedGrant } from './grantRows.js';
export { PoolHome, type PoolHomeOptions } from './PoolHome.js';
export { PoolVms, type PoolState, type PoolVmsOptions } from './PoolVms.js';
export { VmProber } from './VmProber.js';
export { WaveRunner, type WaveRunnerOptions } from './WaveRunner.js';
