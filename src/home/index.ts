export { ClaimDesk, type ClaimDeskOptions, type Refusal } from './ClaimDesk.js';
export { ExplainLog } from './ExplainLog.js';
export { GRANT_LENGTH_MS, PoolHome, type PoolHomeOptions, type PoolHomeState } from './PoolHome.js';
export { VmProber } from './VmProber.js';
export { WaveRunner, type WaveRunnerOptions } from './WaveRunner.js';
