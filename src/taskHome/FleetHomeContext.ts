import type { PeakForecastRecord, VmOrderRecord, WaveRecord } from '../fleetHome/index.js';
import type { KeyedRecord } from '../store/index.js';
import type { PoolPeak } from '../systems/index.js';

/** State and callbacks that the fleet's home gets from the home of its partition. */
export interface FleetHomeContext {
  readonly term: number;
  readonly waveRecords: readonly WaveRecord[];
  readonly orderRecords: readonly VmOrderRecord[];
  readonly peakRecords: readonly PoolPeak[];
  readonly forecastRecords: readonly PeakForecastRecord[];
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
  /** Gets the listed lifetime of a target by the id under which the target reports itself. */
  readonly getLifetimeId: (instance: string) => string;
  /** Whether this instance is certain to be the fleet's home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
  readonly onReplaced: () => void;
}
