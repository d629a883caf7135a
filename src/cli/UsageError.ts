/** A command that was typed wrongly; the message says what is wrong with it. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}
