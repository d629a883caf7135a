import type { PeerAddress } from '../peers/index.js';
import type { InstanceRow } from '../tables/index.js';

/**
 * Gets the address of an instance for peers.
 * @param row - The instance by the log.
 * @returns Its address.
 */
export function toPeerAddress(row: InstanceRow): PeerAddress {
  return { instance: row.instance, host: row.host, port: row.peerPort };
}
