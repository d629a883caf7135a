export type {
  AssignmentRow,
  ClaimRow,
  DrainRow,
  FrozenRow,
  GrantRow,
  HomeRow,
  InstanceRow,
  PublicationRow,
  QueuedRow,
  RecordVerdict,
  RetiredHomeRow,
  SettingsRow,
  VerdictRow,
  VmRow,
  WaveRow,
  WaveStepRow,
  WriterClockRow,
} from './entities.js';
export { FleetTables } from './FleetTables.js';
export {
  PoolTables,
  type JobKindHistoryRow,
  type PoolVmRow,
  type PreemptionRow,
  type VmHealthRow,
  type VmLossRow,
  type WaveWatchRow,
} from './PoolTables.js';
export { Table, type TableOptions } from './Table.js';
