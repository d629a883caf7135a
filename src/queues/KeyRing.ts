import { createHash, timingSafeEqual } from 'node:crypto';
import { groupBy } from '../utils/index.js';
import type { Organisation } from './Organisation.js';

const DIGEST_ALGORITHM = 'sha256';
/** Length of the part of a digest that names a key in logs, in hexadecimal digits. */
const KEY_ID_LENGTH = 8;

/**
 * Computes the digest of a key, which is all that is kept of it.
 * @param key - The key as operators or callers write it.
 * @returns Its SHA-256 digest in hexadecimal digits.
 */
export function digestKey(key: string): string {
  return createHash(DIGEST_ALGORITHM).update(key).digest('hex');
}

/**
 * Gets the name of a key in logs, from which the key can't be guessed.
 * @param keyDigest - Digest of the key.
 * @returns The first digits of the digest.
 */
export function getKeyId(keyDigest: string): string {
  return keyDigest.slice(0, KEY_ID_LENGTH);
}

interface RingEntry {
  readonly organisation: Organisation;
  readonly keyDigest: string;
}

function isSameDigest(left: string, right: string): boolean {
  return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/** The keys of all organisations of a configuration. */
export class KeyRing {
  private readonly entriesById: ReadonlyMap<string, readonly RingEntry[]>;

  /**
   * Indexes the keys.
   * @param organisations - Organisations of the configuration.
   */
  constructor(organisations: readonly Organisation[]) {
    const entries = organisations.flatMap((organisation) =>
      organisation.keyDigests.map((keyDigest): RingEntry => ({ organisation, keyDigest })),
    );
    this.entriesById = groupBy(entries, ({ keyDigest }) => getKeyId(keyDigest));
  }

  /**
   * Finds the organisation of a key. The time it takes tells nothing of the keys: only digests are
   * compared, in constant time.
   * @param keyDigest - Digest of the key.
   * @returns The organisation, or undefined if no organisation has the key.
   */
  find(keyDigest: string): Organisation | undefined {
    const candidates = this.entriesById.get(getKeyId(keyDigest)) ?? [];
    return candidates.find((entry) => isSameDigest(entry.keyDigest, keyDigest))?.organisation;
  }
}
