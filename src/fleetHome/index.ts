export { FleetHome, type FleetHomeOptions } from './FleetHome.js';
export {
  decodeWaveRecord,
  encodeWaveRecord,
  type WaveOrder,
  type WaveRecord,
  type WaveStatus,
} from './WaveOrder.js';
