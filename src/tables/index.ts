export type {
  AssignmentRow,
  ClaimRow,
  DrainRow,
  GrantRow,
  HomeRow,
  InstanceRow,
  PublicationRow,
  QueuedRow,
  SettingsRow,
  VmRow,
  WaveRow,
  WaveStepRow,
} from './entities.js';
export { FleetTables } from './FleetTables.js';
export {
  PoolTables,
  type JobKindHistoryRow,
  type PoolVmRow,
  type VmHealthRow,
} from './PoolTables.js';
export { Table, type TableOptions } from './Table.js';
