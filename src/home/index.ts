export { ClaimDesk, type ClaimDeskOptions } from './ClaimDesk.js';
export type { Refusal } from './Refusal.js';
export { ExplainLog } from './ExplainLog.js';
export { GRANT_LENGTH_MS, type GrantHeldElsewhere } from './grantRows.js';
export { PoolHome, type PoolHomeOptions } from './PoolHome.js';
export { PoolVms, type PoolState, type PoolVmsOptions } from './PoolVms.js';
export { VmProber } from './VmProber.js';
export { WaveRunner, type WaveRunnerOptions } from './WaveRunner.js';
