import { setSizeLimits } from 'cbor-x';
import { z } from 'zod';
import { throwError } from '../errors/index.js';
import { cborCodec } from '../utils/index.js';
import { type PeerFrame, peerFrameSchema } from './PeerFrame.js';

/** Size of the big-endian length before each frame, in bytes. */
export const FRAME_HEADER_BYTES = 4;

/** Maximum size of a frame without its header, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Maximum size of a reply, in bytes; a reply too large for one frame is sent in several. */
export const MAX_REPLY_BYTES = 32 * 1024 * 1024;

// A few bytes can declare an array of billions of items, for which the decoder would allocate
// memory before it detects that they are missing. Each item takes at least one byte.
setSizeLimits({
  maxArraySize: MAX_FRAME_BYTES,
  maxMapSize: MAX_FRAME_BYTES,
  maxObjectSize: MAX_FRAME_BYTES,
});

/**
 * Encodes a frame with its length header.
 * @param frame - The frame.
 * @returns The bytes to send.
 * @throws RattanliftError Of kind `internal` if the frame exceeds {@link MAX_FRAME_BYTES}.
 * @internal
 */
export function encodeFrame(frame: PeerFrame): Buffer {
  const payload = cborCodec.encode(frame);
  if (payload.length > MAX_FRAME_BYTES) {
    throwError('internal', `A frame of ${payload.length} bytes exceeds ${MAX_FRAME_BYTES}.`);
  }
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
}

/**
 * Encodes a value as CBOR.
 * @param value - The value.
 * @returns The encoded bytes.
 * @internal
 */
export function encodeCbor(value: unknown): Buffer {
  return cborCodec.encode(value);
}

/**
 * Decodes a CBOR value.
 * @param payload - The encoded bytes.
 * @returns The value.
 * @throws RattanliftError Of kind `bad-request` if the bytes are not valid CBOR.
 * @internal
 */
export function decodeCbor(payload: Buffer): unknown {
  try {
    return cborCodec.decode(payload);
  } catch (thrown) {
    return throwError('bad-request', `The frame is not CBOR: ${String(thrown)}`);
  }
}

/**
 * Decodes a frame.
 * @param payload - The bytes after the header.
 * @returns The frame.
 * @throws RattanliftError Of kind `bad-request` if the bytes are not a valid frame.
 * @internal
 */
export function decodeFrame(payload: Buffer): PeerFrame {
  const result = peerFrameSchema.safeParse(decodeCbor(payload));
  if (result.success) return result.data;
  return throwError('bad-request', `The frame is malformed: ${z.prettifyError(result.error)}`);
}
