export {
  type Deployment,
  getDeployment,
  listPoolNames,
  listVms,
  makePoolSettings,
} from './deployments.js';
export { generateBufferTrace } from './generateBufferTrace.js';
export { generateOverloadTrace } from './generateOverloadTrace.js';
export { generatePlacementTrace } from './generatePlacementTrace.js';
export { generateWaveTrace, type WaveNight } from './generateWaveTrace.js';
export type {
  DeploymentName,
  Trace,
  TraceEvent,
  TraceHead,
  TraceJob,
  TraceSubject,
  TraceVm,
} from './Trace.js';
export { readTrace, writeTrace } from './traceFiles.js';
