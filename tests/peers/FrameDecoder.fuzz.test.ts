import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RattanliftError } from '../../src/errors/index.js';
import { FrameDecoder } from '../../src/peers/FrameDecoder.js';
import { encodeFrame } from '../../src/peers/frameCodec.js';
import type { PeerFrame } from '../../src/peers/PeerFrame.js';
import { parsePeerReply, parsePeerRequest } from '../../src/peers/peerSchemas.js';

const SEED = 20261202;
const propertyOptions = { seed: SEED, numRuns: 2000, verbose: 1 } as const;
const chunks = fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 8 });
const number = fc.integer({ min: 1, max: 2 ** 31 });
const name = fc.string({ minLength: 1, maxLength: 20 });
// JSON has no -0; it would be decoded as 0.
const value = fc.jsonValue({ maxDepth: 3 }).map((json) => JSON.parse(JSON.stringify(json)));
const frame: fc.Arbitrary<PeerFrame> = fc.oneof(
  fc.record({ kind: fc.constant('hello' as const), number, from: name, to: name }),
  fc.record({ kind: fc.constant('request' as const), number, request: value }),
  fc.record({ kind: fc.constant('reply' as const), number, reply: value }),
  fc.record({ kind: fc.constant('ping' as const), number }),
);

/** Runs a decoder or parser; an error of any kind but `bad-request` fails the test. */
function expectOnlyBadRequest(run: () => unknown): void {
  try {
    run();
  } catch (thrown) {
    expect(thrown).toBeInstanceOf(RattanliftError);
    expect((thrown as RattanliftError).kind).toBe('bad-request');
  }
}

function decodeAll(decoder: FrameDecoder, parts: readonly Uint8Array[]): readonly PeerFrame[] {
  return parts.flatMap((part) => decoder.push(Buffer.from(part)));
}

describe(`FrameDecoder, seed ${SEED}`, () => {
  it('accepts arbitrary bytes or rejects them as a bad request', () => {
    fc.assert(
      fc.property(chunks, (parts) =>
        expectOnlyBadRequest(() => decodeAll(new FrameDecoder(), parts)),
      ),
      propertyOptions,
    );
  });

  it('accepts arbitrary frame payloads or rejects them as a bad request', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (payload) => {
        const bytes = Buffer.alloc(4 + payload.length);
        bytes.writeUInt32BE(payload.length);
        bytes.set(payload, 4);
        expectOnlyBadRequest(() => new FrameDecoder().push(bytes));
      }),
      propertyOptions,
    );
  });

  it('decodes the encoded frames, however their bytes are split', () => {
    fc.assert(
      fc.property(
        fc.array(frame, { minLength: 1, maxLength: 4 }),
        fc.integer({ min: 1, max: 30 }),
        (frames, partBytes) => {
          const bytes = Buffer.concat(frames.map(encodeFrame));
          const parts = Array.from({ length: Math.ceil(bytes.length / partBytes) }, (_, index) =>
            bytes.subarray(index * partBytes, (index + 1) * partBytes),
          );
          expect(decodeAll(new FrameDecoder(), parts)).toEqual(frames);
        },
      ),
      propertyOptions,
    );
  });

  it('accepts arbitrary messages or rejects them as a bad request', () => {
    const types = ['request-grant', 'finish-grant', 'push-entries', 'granted', 'refused', 'grants'];
    const message = fc.oneof(
      value,
      fc.dictionary(fc.constantFrom('pool', 'kind', 'entries', 'port', 'vm', 'offset'), value),
    );
    fc.assert(
      fc.property(fc.constantFrom(...types), message, (type, fields) => {
        const stray = typeof fields === 'object' ? { ...fields, type } : fields;
        expectOnlyBadRequest(() => parsePeerRequest(stray));
        expectOnlyBadRequest(() => parsePeerReply(stray));
      }),
      propertyOptions,
    );
  });
});
