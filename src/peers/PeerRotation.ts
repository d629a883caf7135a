import type { PeerAddress } from './PeerMessage.js';

/** Peers asked at a time: several may be cut off as well. */
const ASKED_PEER_COUNT = 3;

/** Takes turns among the peers that an instance asks for what the platform does not tell it. */
export class PeerRotation {
  private nextIndex = 0;

  /**
   * Takes the next peers.
   * @param peers - The other instances, in a steady order.
   * @returns Three of them at most, after those of the call before.
   */
  takeNext(peers: readonly PeerAddress[]): readonly PeerAddress[] {
    const rotated = [...peers.slice(this.nextIndex), ...peers.slice(0, this.nextIndex)];
    this.nextIndex = (this.nextIndex + ASKED_PEER_COUNT) % Math.max(1, peers.length);
    return rotated.slice(0, ASKED_PEER_COUNT);
  }
}
