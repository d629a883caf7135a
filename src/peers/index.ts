export { DEFAULT_HEARTBEAT, type HeartbeatOptions } from './HeartbeatOptions.js';
export { PeerClient, type PeerClientOptions } from './PeerClient.js';
export type { ReopenOptions } from './PeerLink.js';
export type {
  ConfigurationRequest,
  DurableJobRequest,
  GrantReply,
  GrantRequest,
  GrantResult,
  HeldGrant,
  PeerAddress,
  PeerHandler,
  PeerPort,
  PeerReply,
  PeerRequest,
  TargetCallRequest,
} from './PeerMessage.js';
export { PeerServer, type PeerServerOptions } from './PeerServer.js';
export { PeerRotation } from './PeerRotation.js';
