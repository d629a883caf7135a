/** How a connection finds out that its other end is out of reach. */
export interface HeartbeatOptions {
  /** Time between two looks at a connection, in milliseconds. */
  readonly heartbeatMs: number;
  /** Looks in a row without a byte received after which the connection is dropped. */
  readonly silentHeartbeatLimit: number;
}

/** A ping each idle second, and a drop after three silent ones. */
export const DEFAULT_HEARTBEAT: HeartbeatOptions = { heartbeatMs: 1000, silentHeartbeatLimit: 3 };
