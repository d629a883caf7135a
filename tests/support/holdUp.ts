/**
 * Holds this process up, as a processor does that is given to others.
 * @param forMs - For how long, in milliseconds.
 */
export function holdUp(forMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, forMs);
}
