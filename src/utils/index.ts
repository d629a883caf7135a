export { cborCodec } from './cborCodec.js';
export { AdaptiveTimeout, type AdaptiveTimeoutOptions } from './AdaptiveTimeout.js';
export { assertNever } from './assertNever.js';
export type { Clock } from './Clock.js';
export {
  HttpClient,
  type HttpAnswer,
  type HttpClientOptions,
  type HttpRequest,
} from './HttpClient.js';
export {
  HttpJsonClient,
  type HttpJsonClientOptions,
  type JsonAnswer,
  type JsonRequest,
} from './HttpJsonClient.js';
export { ConcurrencyLimit } from './ConcurrencyLimit.js';
export { followMean } from './followMean.js';
export { groupBy } from './groupBy.js';
export { hashText } from './hashText.js';
export { holdBackOptimizer } from './holdBackOptimizer.js';
export { listOf } from './listOf.js';
export { LoopLoad, type LoopLoadOptions } from './LoopLoad.js';
export { memoizeByObject } from './memoizeByObject.js';
export { rankByRendezvous } from './rankByRendezvous.js';
export { KeyedOnce } from './KeyedOnce.js';
export { ManualClock } from './ManualClock.js';
export type { Rng } from './Rng.js';
export { SeededRng } from './SeededRng.js';
export { SteadyClock } from './SteadyClock.js';
export { SystemClock } from './SystemClock.js';
export { TokenBucket, type TokenBucketOptions } from './TokenBucket.js';
export { waitUntil, type WaitUntilOptions } from './waitUntil.js';
export { whenAborted } from './whenAborted.js';
