export {
  logRecordSchema,
  RECORD_FORMAT_VERSION,
  type LogRecord,
  type RecordBody,
  type RecordBodyOf,
  type RequestClaim,
} from './LogRecord.js';
