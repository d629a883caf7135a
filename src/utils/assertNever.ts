/**
 * Marks a branch that exhaustive handling of a union makes unreachable.
 * @param value - The value that no case has handled.
 * @returns Never returns.
 * @throws Error When reached at run time, which means that the union grew without its switch.
 */
export function assertNever(value: never): never {
  throw new Error(`Unhandled variant: ${JSON.stringify(value)}`);
}
