/** A value with the time at which it is due. */
interface Entry<Value> {
  readonly atMs: number;
  /** Order of insertion, which decides between values due at the same time. */
  readonly order: number;
  readonly value: Value;
}

/** Whether the first entry is due before the second. */
function isBefore(first: Entry<unknown>, second: Entry<unknown>): boolean {
  return first.atMs < second.atMs || (first.atMs === second.atMs && first.order < second.order);
}

/** Values in the order of their time: a binary heap. */
export class EventQueue<Value> {
  private readonly heap: Entry<Value>[] = [];

  private insertedCount = 0;

  /** Time of the next value; infinite where there is none. */
  get nextMs(): number {
    return this.heap[0]?.atMs ?? Infinity;
  }

  /**
   * Adds a value.
   * @param atMs - When it is due.
   * @param value - The value.
   */
  push(atMs: number, value: Value): void {
    this.heap.push({ atMs, order: this.insertedCount, value });
    this.insertedCount += 1;
    let index = this.heap.length - 1;
    let parent = Math.floor((index - 1) / 2);
    while (index > 0 && isBefore(this.heap[index]!, this.heap[parent]!)) {
      this.swap(index, parent);
      index = parent;
      parent = Math.floor((index - 1) / 2);
    }
  }

  /**
   * Removes the value that is due first.
   * @returns The value, or undefined where there is none.
   */
  pop(): Value | undefined {
    const [first] = this.heap;
    const last = this.heap.pop();
    if (first === undefined || last === undefined || first === last) return first?.value;
    this.heap[0] = last;
    this.sink();
    return first.value;
  }

  private sink(): void {
    let index = 0;
    let child = this.smallerChild(index);
    while (child !== undefined && isBefore(this.heap[child]!, this.heap[index]!)) {
      this.swap(index, child);
      index = child;
      child = this.smallerChild(index);
    }
  }

  private smallerChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= this.heap.length) return undefined;
    if (right >= this.heap.length) return left;
    return isBefore(this.heap[left]!, this.heap[right]!) ? left : right;
  }

  private swap(first: number, second: number): void {
    const kept = this.heap[first]!;
    this.heap[first] = this.heap[second]!;
    this.heap[second] = kept;
  }
}
