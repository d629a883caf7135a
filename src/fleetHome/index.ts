export { FleetHome, type FleetHomeOptions } from './FleetHome.js';
export { decodePeakForecastRecord, type PeakForecastRecord } from './PeakForecastRecord.js';
export { decodePoolPeakRecord } from './PoolPeakRecord.js';
export { decodeVmOrderRecord, type VmOrderRecord } from './VmOrderRecord.js';
export type { WaveOrder } from './WaveOrder.js';
export {
  decodeWaveRecord,
  encodeWaveRecord,
  type WaveRecord,
  type WaveStatus,
} from './WaveRecord.js';
