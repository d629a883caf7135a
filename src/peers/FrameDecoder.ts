import { throwError } from '../errors/index.js';
import { decodeFrame, FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from './frameCodec.js';
import type { PeerFrame } from './PeerFrame.js';

/** Reads how many bytes the next frame takes with its header, or the header's where unknown. */
function getNeededBytes(bytes: Buffer, position: number): number {
  if (bytes.length - position < FRAME_HEADER_BYTES) return FRAME_HEADER_BYTES;
  const payloadBytes = bytes.readUInt32BE(position);
  if (payloadBytes > MAX_FRAME_BYTES) {
    throwError('bad-request', `A frame of ${payloadBytes} bytes exceeds ${MAX_FRAME_BYTES}.`);
  }
  return FRAME_HEADER_BYTES + payloadBytes;
}

/**
 * Cuts the bytes of a connection into frames.
 * @internal
 */
export class FrameDecoder {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  /** Bytes that have to be there before the next look at them is worth a copy. */
  private neededBytes = FRAME_HEADER_BYTES;

  /**
   * Takes the next bytes.
   * @param chunk - Bytes as they arrived.
   * @returns The frames that they complete.
   * @throws RattanliftError Of kind `bad-request` where the bytes are no frames.
   */
  push(chunk: Buffer): readonly PeerFrame[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return [];
    return this.takeFrames();
  }

  private takeFrames(): readonly PeerFrame[] {
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
