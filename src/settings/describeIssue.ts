import type { z } from 'zod';

type Issue = z.core.$ZodIssue;

const EXPECTED_BY_TYPE: Readonly<Record<string, string>> = {
  array: 'a list',
  boolean: 'true or false',
  int: 'a whole number',
  number: 'a number',
  object: 'an object',
  record: 'an object',
  string: 'text',
};

/** What a limit is counted in, by the kind of value that it limits. */
const LIMITED_BY_ORIGIN: Readonly<Record<string, string>> = {
  array: 'a list with a count of entries',
  string: 'text with a length',
};

/** Lists alternatives as a person would. */
function joinAlternatives(alternatives: readonly string[]): string {
  const distinct = [...new Set(alternatives)];
  if (distinct.length < 2) return distinct.join('');
  return `${distinct.slice(0, -1).join(', ')} or ${distinct.at(-1)}`;
}

/** Describes a lower or upper limit. */
function describeLimit(origin: string, limit: string): string {
  return `${LIMITED_BY_ORIGIN[origin] ?? 'a number'} ${limit}`;
}

/**
 * Describes what an issue of the schema's check says should have stood in the place.
 * @param issue - The issue.
 * @returns A noun phrase, to follow "expected".
 */
export function describeIssue(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return EXPECTED_BY_TYPE[issue.expected] ?? issue.expected;
    case 'invalid_value':
      return joinAlternatives(issue.values.map((value) => JSON.stringify(value)));
    case 'too_small': {
      const relation = issue.inclusive === false ? 'above' : 'of at least';
      return describeLimit(issue.origin, `${relation} ${String(issue.minimum)}`);
    }
    case 'too_big': {
      const relation = issue.inclusive === false ? 'below' : 'of at most';
      return describeLimit(issue.origin, `${relation} ${String(issue.maximum)}`);
    }
    case 'invalid_union':
      return joinAlternatives(issue.errors.flat().map(describeIssue));
    case 'invalid_key':
      return joinAlternatives(issue.issues.map(describeIssue));
    default:
      return issue.message;
  }
}
