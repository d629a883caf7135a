/**
 * Keeps the result of a computation over an object that never changes, for as long as the object
 * lives.
 *
 * Rows are replaced and never changed, so what was computed from one holds as long as it stands: a
 * round of decisions then costs what has changed since the last one, not the size of the table.
 * @param compute - The computation.
 * @returns The computation, done once for each object.
 */
export function memoizeByObject<Key extends object, Value>(
  compute: (key: Key) => Value,
): (key: Key) => Value {
  const known = new WeakMap<Key, { readonly value: Value }>();
  return (key) => {
    const found = known.get(key);
    if (found !== undefined) return found.value;
    const value = compute(key);
    known.set(key, { value });
    return value;
  };
}
