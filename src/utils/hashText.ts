const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const AVALANCHE_FIRST = 0x85ebca6b;
const AVALANCHE_SECOND = 0xc2b2ae35;

/* eslint-disable no-bitwise -- a hash is bit arithmetic */
/**
 * Hashes text to 32 bits: FNV-1a with the finalizer of MurmurHash3.
 * @param text - The text to hash.
 * @returns An unsigned 32-bit integer, the same in every process.
 */
export function hashText(text: string): number {
  const folded = Array.from(text).reduce(
    (hash, character) => Math.imul(hash ^ character.codePointAt(0)!, FNV_PRIME),
    FNV_OFFSET_BASIS,
  );
  const mixedOnce = Math.imul(folded ^ (folded >>> 16), AVALANCHE_FIRST);
  const mixedTwice = Math.imul(mixedOnce ^ (mixedOnce >>> 13), AVALANCHE_SECOND);
  return (mixedTwice ^ (mixedTwice >>> 16)) >>> 0;
}
