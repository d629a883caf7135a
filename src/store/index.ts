export type { GroupPort, GroupAssignment, JoinRequest, PartitionOwner } from './GroupPort.js';
export type {
  AppendFence,
  AppendRequest,
  AppendResult,
  KeyedLogPort,
  KeyedRecord,
  NewestRecords,
  ReadRequest,
  ReadResult,
  StoredRecord,
} from './KeyedLogPort.js';
export { decodeRecordWithPrefix, decodeRecordValue, encodeRecordValue } from './recordValue.js';
export { KeyedFollower, type KeyedFollowerOptions } from './KeyedFollower.js';
