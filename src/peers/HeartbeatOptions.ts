/** Options with which a connection detects that its peer is unreachable. */
export interface HeartbeatOptions {
  /** Interval between two heartbeats of a connection, in milliseconds. */
  readonly heartbeatMs: number;
  /** Number of consecutive heartbeats without received data that closes the connection. */
  readonly silentHeartbeatLimit: number;
}

/** Pings after each second without data, and closes the connection after three such seconds. */
export const DEFAULT_HEARTBEAT: HeartbeatOptions = { heartbeatMs: 1000, silentHeartbeatLimit: 3 };
