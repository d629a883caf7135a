export { ANSWER_HEADERS, CALLER_HEADERS } from './callerHeaders.js';
export type { ErrorBody } from './createErrorBody.js';
export { createMetricsServer } from './createMetricsServer.js';
export { getRetryAfterS } from './getRetryAfterS.js';
export { createHttpServer, type HttpServerOptions } from './createHttpServer.js';
export type { EntryPort, JobAnswer, JobState, JobSubmission } from './EntryPort.js';
export { type CallerRoutesOptions, registerCallerRoutes } from './registerCallerRoutes.js';
export {
  type DurableJobPort,
  type DurableJobRoutesOptions,
  type DurableJobView,
  registerDurableJobRoutes,
} from './registerDurableJobRoutes.js';
export type { DurableJobOrigin } from './parseDurableJob.js';
export { parseJsonBody } from './parseJsonBody.js';
export {
  type OrganisationPoolView,
  type OrganisationPort,
  type OrganisationRoutesOptions,
  type OrganisationView,
  registerOrganisationRoutes,
} from './registerOrganisationRoutes.js';
