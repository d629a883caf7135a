import { throwError } from '../errors/index.js';
import { decodeFrame, FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from './frameCodec.js';
import type { PeerFrame } from './PeerFrame.js';

/** Returns the size of the next frame with its header; without a full header, the header's size. */
function getNeededBytes(bytes: Buffer, position: number): number {
  if (bytes.length - position < FRAME_HEADER_BYTES) return FRAME_HEADER_BYTES;
  const payloadBytes = bytes.readUInt32BE(position);
  if (payloadBytes > MAX_FRAME_BYTES) {
    throwError('bad-request', `A frame of ${payloadBytes} bytes exceeds ${MAX_FRAME_BYTES}.`);
  }
  return FRAME_HEADER_BYTES + payloadBytes;
}

/**
 * Splits the bytes of a connection into frames.
 * @internal
 */
export class FrameDecoder {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  /** Number of bytes that the next frame needs; with fewer, chunks are not concatenated. */
  private neededBytes = FRAME_HEADER_BYTES;

  /**
   * Adds received bytes.
   * @param chunk - The received bytes.
   * @returns The frames that the bytes complete.
   * @throws RattanliftError Of kind `bad-request` if the bytes are not valid frames.
   */
  push(chunk: Buffer): readonly PeerFrame[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return [];
    return this.extractFrames();
  }

  private extractFrames(): readonly PeerFrame[] {
    const frames: PeerFrame[] = [];
    const bytes = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    let position = 0;
    this.neededBytes = getNeededBytes(bytes, position);
    while (bytes.length - position >= this.neededBytes) {
      const end = position + this.neededBytes;
      frames.push(decodeFrame(bytes.subarray(position + FRAME_HEADER_BYTES, end)));
      position = end;
      this.neededBytes = getNeededBytes(bytes, position);
    }
    this.chunks = [bytes.subarray(position)];
    this.bufferedBytes = bytes.length - position;
    return frames;
  }
}
