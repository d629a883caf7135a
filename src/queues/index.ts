export { authenticateCaller, isKeyWithdrawn } from './authenticateCaller.js';
export {
  ConfigurationFollower,
  type ConfigurationFollowerOptions,
} from './ConfigurationFollower.js';
export { ConfigurationPeers, type ConfigurationPeersOptions } from './ConfigurationPeers.js';
export { digestKey, getKeyId, KeyRing } from './KeyRing.js';
export { getWeight, hasLimit, NO_LIMIT, type Organisation } from './Organisation.js';
export { findQueue } from './findQueue.js';
export { getQueueTerms } from './getQueueTerms.js';
export { getQueueKey } from './queuePoolRecord.js';
export { QueuePools, type QueuePoolsOptions } from './QueuePools.js';
export type { PoolDefinition, QueueConfiguration, QueueRoute } from './QueueConfiguration.js';
