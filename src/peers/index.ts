export type {
  GrantReply,
  GrantRequest,
  GrantResult,
  HeldGrant,
  PeerAddress,
  PeerHandler,
  PeerPort,
  PeerReply,
  PeerRequest,
} from './PeerMessage.js';
