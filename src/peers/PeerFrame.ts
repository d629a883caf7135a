import { z } from 'zod';

const id = z.string().min(1).max(200);
const number = z.int().positive();

/** Schema of the envelope; the request or reply inside is checked by the end that uses it. */
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
    /** Number of the request that this answers. */
    number,
    reply: z.unknown(),
  }),
  z.object({
    kind: z.literal('reply-part'),
    /** Number of the request that the parts answer together. */
    number,
    /** Piece of the encoded reply. */
    bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
    isLast: z.boolean(),
  }),
  z.object({ kind: z.literal('ping'), number }),
  z.object({ kind: z.literal('pong'), number }),
]);

/**
 * One frame between two instances. The numbers of requests grow through the life of a connection,
 * as do those of an end's hello and pings; a reply and a pong carry the number that they answer.
 * @internal
 */
export type PeerFrame = Readonly<z.output<typeof peerFrameSchema>>;
