import type { z } from 'zod';
import { describeIssue } from './describeIssue.js';
import { findNearestName } from './findNearestName.js';
import { getKnownKeys } from './getKnownKeys.js';
import { JsonDocument } from './JsonDocument.js';
import { MAX_PROBLEM_COUNT, type ParsedDocument, type SettingsProblem } from './SettingsProblem.js';

/** Options of {@link parseJsonWithComments}. */
export interface ParseOptions<Schema extends z.ZodType> {
  readonly text: string;
  /** Name to show with problems. */
  readonly fileName: string;
  readonly schema: Schema;
  /** Checks across fields, made only once the schema is met. */
  readonly crossCheck?: (
    value: z.output<Schema>,
    document: JsonDocument,
  ) => readonly SettingsProblem[];
}

/** Describes one key that the schema does not know. */
function describeUnknownKey(
  document: JsonDocument,
  schema: z.ZodType,
  path: readonly PropertyKey[],
): SettingsProblem {
  const key = String(path.at(-1));
  const knownKeys = getKnownKeys(schema, path.slice(0, -1));
  const nearest = findNearestName(key, knownKeys);
  const suggestion = nearest === undefined ? '' : ` (did you mean "${nearest}"?)`;
  return document.problemAtKey(path, {
    expected: `one of the keys ${knownKeys.join(', ')}`,
    found: `the unknown key "${key}"${suggestion}`,
  });
}

/** Turns one issue of the schema's check into problems with a place. */
function describeAtPlace(
  document: JsonDocument,
  schema: z.ZodType,
  issue: z.core.$ZodIssue,
): readonly SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    const keys = issue.keys.slice(0, MAX_PROBLEM_COUNT);
    return keys.map((key) => describeUnknownKey(document, schema, [...issue.path, key]));
  }
  const expected = describeIssue(issue);
  if (issue.code === 'invalid_key') {
    const found = `the key "${String(issue.path.at(-1))}"`;
    return [document.problemAtKey(issue.path, { expected, found })];
  }
  return [document.problemAtValue(issue.path, { expected, found: document.showValue(issue.path) })];
}

/** Orders problems as a reader meets their places. */
function inReadingOrder(problems: readonly SettingsProblem[]): readonly SettingsProblem[] {
  return problems.toSorted((left, right) => left.line - right.line || left.column - right.column);
}

/**
 * Reads JSON with comments and checks it against a schema.
 * @param options - Text, file name, schema and further checks.
 * @returns The value with its warnings, or every problem in reading order.
 */
export function parseJsonWithComments<Schema extends z.ZodType>(
  options: ParseOptions<Schema>,
): ParsedDocument<z.output<Schema>> {
  const document = new JsonDocument(options);
  if (!document.isWellFormed) return { type: 'invalid', problems: document.problems };
  const result = options.schema.safeParse(document.value);
  if (!result.success) {
    const problems = result.error.issues
      .slice(0, MAX_PROBLEM_COUNT)
      .flatMap((issue) => describeAtPlace(document, options.schema, issue));
    return { type: 'invalid', problems: inReadingOrder([...document.problems, ...problems]) };
  }
  const crossProblems = options.crossCheck?.(result.data, document) ?? [];
  const problems = inReadingOrder([...document.problems, ...crossProblems]);
  return problems.some(({ severity }) => severity === 'error')
    ? { type: 'invalid', problems }
    : { type: 'valid', value: result.data, warnings: problems };
}
