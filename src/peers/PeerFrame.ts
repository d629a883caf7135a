import { z } from 'zod';

const id = z.string().min(1).max(200);
const number = z.int().positive();

/** Schema of the envelope; the receiving end validates the request or reply inside. */
export const peerFrameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    number,
    /** Instance that sends the frame. */
    from: id,
    /** Instance that the sender expects at the other end. */
    to: id,
  }),
  z.object({ kind: z.literal('request'), number, request: z.unknown() }),
  z.object({
    kind: z.literal('reply'),
    /** Number of the request that this frame answers. */
    number,
    reply: z.unknown(),
  }),
  z.object({
    kind: z.literal('reply-part'),
    /** Number of the request that all parts together answer. */
    number,
    /** Part of the encoded reply. */
    bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
    isLast: z.boolean(),
  }),
  z.object({ kind: z.literal('ping'), number }),
  z.object({ kind: z.literal('pong'), number }),
]);

/**
 * A frame between two instances. On a connection, the numbers of requests increase, as do those of
 * an end's hello and pings. A reply or a pong carries the number of the frame that it answers.
 * @internal
 */
export type PeerFrame = Readonly<z.output<typeof peerFrameSchema>>;
