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
