/**
 * Groups values by a key.
 * @param values - The values.
 * @param keyOf - Reads the key of a value.
 * @returns Values by key, each group in the order of the values.
 */
export function groupBy<Key, Value>(
  values: readonly Value[],
  keyOf: (value: Value) => Key,
): ReadonlyMap<Key, readonly Value[]> {
  const groups = new Map<Key, Value[]>();
  values.forEach((value) => {
    const key = keyOf(value);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [value]);
    else group.push(value);
  });
  return groups;
}
