export { FleetHome, type FleetHomeOptions } from './FleetHome.js';
export { decodePoolPeakRecord } from './PoolPeakRecord.js';
export { decodeVmOrderRecord, type VmOrderRecord } from './VmOrderRecord.js';
export {
  decodeWaveRecord,
  encodeWaveRecord,
  type WaveOrder,
  type WaveRecord,
  type WaveStatus,
} from './WaveOrder.js';
