export { applyEntry } from './applyEntry.js';
export type { ApplyVerdict } from './ApplyVerdict.js';
export type { BackoffOptions } from './Backoff.js';
export { findHomeFault, isPoolInForce, type ActingHome } from './fold/homes.js';
export { isWaveFinished } from './fold/waveProgress.js';
export { LogFollower, type AppliedListener, type LogFollowerOptions } from './LogFollower.js';
export { LogWriter, type LogWriterOptions, type WriteOptions } from './LogWriter.js';
export type { OffsetWaitOptions } from './OffsetWaiters.js';
export type { WriteResult } from './WriteResult.js';
