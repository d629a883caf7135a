/** A guard that is taken out, and the test that has to fail then. */
export interface Mutant {
  /** What the guard prevents. */
  readonly failure: string;
  /** File of the guard. */
  readonly file: string;
  /** Text that stands exactly once in the file. */
  readonly find: string;
  readonly replace: string;
  /** File of the test. */
  readonly test: string;
  /** Part of the test's full name. */
  readonly name: string;
}
