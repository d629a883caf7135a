export { checkTeamSettings, type TeamCheckOptions } from './checkTeamSettings.js';
export { formatProblem } from './formatProblem.js';
export { JsonDocument, type JsonDocumentOptions, type ProblemText } from './JsonDocument.js';
export { parseJsonWithComments, type ParseOptions } from './parseJsonWithComments.js';
export type { ParsedDocument, SettingsProblem } from './SettingsProblem.js';
export {
  availabilitySchema,
  jobKindSchema,
  poolSchema,
  quotaSchema,
  teamSettingsSchema,
  type AvailabilitySettings,
  type FailureDomain,
  type JobKindSettings,
  type PoolSettings,
  type QuotaSettings,
  type TeamSettings,
  type Urgency,
} from './TeamSettings.js';
