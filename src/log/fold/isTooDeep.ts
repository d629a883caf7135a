import { createScanner } from 'jsonc-parser';

const MAX_DEPTH = 100;
const OPENING = '{[';
const CLOSING = '}]';

/**
 * Tells whether a document nests deeper than any settings do.
 *
 * A parser that recurses runs out of stack on a document of many thousand brackets, at a depth
 * that differs from process to process: some instances would reject the publication and others
 * fail. This check does not recurse, so all of them reject it alike.
 * @param document - JSON with comments.
 * @returns Whether it is too deep to be parsed.
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
