import { createScanner } from 'jsonc-parser';

const MAX_DEPTH = 100;
const OPENING = '{[';
const CLOSING = '}]';

/**
 * Checks whether a document is nested more deeply than settings can be.
 *
 * A recursive parser overflows the stack on a document with many thousand brackets, at a depth
 * that differs between processes: some instances would reject the publication and others would
 * fail. This check does not recurse, so all instances reject the document.
 * @param document - JSON with comments.
 * @returns Whether the document exceeds the maximum nesting depth.
 */
export function isTooDeep(document: string): boolean {
  const scanner = createScanner(document, true);
  let depth = 0;
  while (scanner.getPosition() < document.length && depth <= MAX_DEPTH) {
    scanner.scan();
    const firstCharacter = document.charAt(scanner.getTokenOffset());
    if (OPENING.includes(firstCharacter)) depth += 1;
    if (CLOSING.includes(firstCharacter)) depth -= 1;
  }
  return depth > MAX_DEPTH;
}
