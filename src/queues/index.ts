export {
  ConfigurationFollower,
  type ConfigurationFollowerOptions,
} from './ConfigurationFollower.js';
export {
  findQueue,
  type PoolDefinition,
  type QueueConfiguration,
  type QueueRoute,
} from './QueueConfiguration.js';
