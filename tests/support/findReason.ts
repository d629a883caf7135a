/**
 * Tells why something can't be read.
 * @param read - Reads it.
 * @returns What was thrown, as text; an empty text if it can be read.
 */
export function findReason(read: () => unknown): string {
  try {
    read();
    return '';
  } catch (thrown) {
    return String(thrown);
  }
}
