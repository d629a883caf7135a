/**
 * Most errors of one kind that are described. The failure guarded against: a document with a
 * mistake on each of its half a million lines costs every instance that reads it from the log
 * minutes of descriptions, in which it renews no lease. Nobody reads more than the first few.
 */
export const MAX_PROBLEM_COUNT = 50;

/** Something wrong, or doubtful, at one place of a settings document. */
export interface SettingsProblem {
  /** An error keeps the document from being accepted; a warning does not. */
  readonly severity: 'error' | 'warning';
  readonly file: string;
  /** Line of the place, the first one being 1. */
  readonly line: number;
  /** Column of the place in UTF-16 units, the first one being 1. */
  readonly column: number;
  /** Path of keys, for example `pools.page-saves.neededSlotCount`; empty for the document. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** What became of a document: its value with warnings, or every problem that was found. */
export type ParsedDocument<Value> =
  | {
      readonly type: 'valid';
      readonly value: Value;
      readonly warnings: readonly SettingsProblem[];
    }
  | { readonly type: 'invalid'; readonly problems: readonly SettingsProblem[] };
