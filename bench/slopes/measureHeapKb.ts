import v8 from 'node:v8';
import vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/**
 * Measures the heap in use after a collection.
 * @returns The heap, in bytes.
 */
export function usedHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/**
 * Measures the heap that a value takes.
 * @param make - Makes the value.
 * @returns The value and its kilobytes.
 */
export function measureHeapKb<Value>(make: () => Value): {
  readonly value: Value;
  readonly heapKb: number;
} {
  const beforeBytes = usedHeapBytes();
  const value = make();
  const heapKb = Math.max(0, usedHeapBytes() - beforeBytes) / 1_024;
  return { value, heapKb };
}
