export { announceMember, type AnnounceMemberOptions } from './announceMember.js';
export {
  formatMember,
  type GroupMember,
  HomeDirectory,
  type HomeDirectoryOptions,
  parseMember,
} from './HomeDirectory.js';
export type { GroupTiming } from './GroupMembership.js';
export { handleJobRequest } from './handleJobRequest.js';
export { JobGateway, type JobGatewayOptions } from './JobGateway.js';
export { getLongestPageSilenceMs } from './pageTransfer.js';
export { PoolPartitions, type PoolPartitionsOptions } from './PoolPartitions.js';
export { TargetDirectory, type TargetDirectoryOptions } from './TargetDirectory.js';
export type { TargetEntries, TargetEntry } from './TargetEntry.js';
export { TaskHome } from './TaskHome.js';
export type { TaskHomeOptions } from './TaskHomeOptions.js';
export type { PoolOrganisations } from './LimitParts.js';
export type { FleetHomeContext } from './FleetHomeContext.js';
export { TaskHomes } from './TaskHomes.js';
export type { TaskHomesOptions } from './TaskHomesOptions.js';
export type { TaskHomeTiming } from './TaskHomeTiming.js';
export { getMaxAppendBytes } from './getMaxAppendBytes.js';
export { RecordWriter, type RecordWriterOptions } from './RecordWriter.js';
export { RelayedTargets, type RelayedTargetsOptions } from './RelayedTargets.js';
export { relayTargetCall } from './relayTargetCall.js';
