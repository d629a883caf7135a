const MAX_COMPARED_CELLS = 4_000_000;

/** Lengths of the longest common subsequences of all pairs of tails. */
function measureTails(left: readonly string[], right: readonly string[]): readonly Uint32Array[] {
  const lengths = Array.from({ length: left.length + 1 }, () => new Uint32Array(right.length + 1));
  left.toReversed().forEach((line, reversedIndex) => {
    const row = left.length - 1 - reversedIndex;
    right.toReversed().forEach((other, reversedColumn) => {
      const column = right.length - 1 - reversedColumn;
      lengths[row]![column] =
        line === other
          ? lengths[row + 1]![column + 1]! + 1
          : Math.max(lengths[row + 1]![column]!, lengths[row]![column + 1]!);
    });
  });
  return lengths;
}

/** Counts the lines that two lists begin with in common. */
function countCommonStart(left: readonly string[], right: readonly string[]): number {
  const count = left.findIndex((line, index) => line !== right[index]);
  return count < 0 ? left.length : count;
}

/** Compares the lists where they differ, by their longest common subsequence. */
function diffMiddles(left: readonly string[], right: readonly string[]): readonly string[] {
  if (left.length * right.length > MAX_COMPARED_CELLS) {
    return [...left.map((line) => `- ${line}`), ...right.map((line) => `+ ${line}`)];
  }
  const lengths = measureTails(left, right);
  const changes: string[] = [];
  let row = 0;
  let column = 0;
  while (row < left.length || column < right.length) {
    if (row < left.length && column < right.length && left[row] === right[column]) {
      row += 1;
      column += 1;
    } else if (
      column >= right.length ||
      (row < left.length && lengths[row + 1]![column]! >= lengths[row]![column + 1]!)
    ) {
      changes.push(`- ${left[row]}`);
      row += 1;
    } else {
      changes.push(`+ ${right[column]}`);
      column += 1;
    }
  }
  return changes;
}

/**
 * Lists the lines in which two texts differ.
 * @param before - The former text.
 * @param after - The later text.
 * @returns Lines that went, after `- `, and lines that came, after `+ `, in their order.
 */
export function diffLines(before: string, after: string): readonly string[] {
  const left = before.split(/\r?\n/);
  const right = after.split(/\r?\n/);
  const startCount = countCommonStart(left, right);
  const leftTail = left.slice(startCount).toReversed();
  const rightTail = right.slice(startCount).toReversed();
  const endCount = countCommonStart(leftTail, rightTail);
  return diffMiddles(leftTail.slice(endCount).toReversed(), rightTail.slice(endCount).toReversed());
}
