export { FleetHome, type FleetHomeOptions } from './FleetHome.js';
export { decodeVmOrderRecord, type VmOrderRecord } from './VmOrderRecord.js';
export type { WaveOrder } from './WaveOrder.js';
export {
  decodeWaveRecord,
  encodeWaveRecord,
  type WaveRecord,
  type WaveStatus,
} from './WaveRecord.js';
