import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { CALLER_HEADERS } from '../../src/callers/index.js';
import { ERROR_ANSWERS, type ErrorKind } from '../../src/errors/index.js';

const OPERATORS_KINDS: readonly ErrorKind[] = [
  'unknown-vm',
  'unknown-wave',
  'settings-invalid',
  'settings-conflict',
  'wave-conflict',
];
/** Cells of a row of the table of errors, with the empty ones before and after it. */
const ERROR_COLUMN_COUNT = 7;
const rows = readFileSync('docs/CALLERS.md', 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('| `'))
  .map((line) => line.split('|').map((cell) => cell.trim().replaceAll('`', '')));

describe('docs/CALLERS.md', () => {
  it('lists each kind of error that callers see, as the table of answers has it', () => {
    const listed = rows
      .filter((cells) => cells.length === ERROR_COLUMN_COUNT && cells[1] !== 'kind')
      .map(([, kind, status, outcome, retry]) => [kind, status, outcome, retry]);
    const expected = Object.entries(ERROR_ANSWERS)
      .filter(([kind]) => !OPERATORS_KINDS.includes(kind as ErrorKind))
      .map(([kind, { httpStatus, outcome, retryAfterS }]) => [
        kind,
        String(httpStatus),
        outcome,
        retryAfterS === undefined ? '' : `${retryAfterS} s`,
      ]);
    expect(listed).toEqual(expected);
  });

  it('lists each header', () => {
    const listed = rows.map(([, name]) => name).filter((name) => name!.startsWith('Rattanlift-'));
    expect(new Set(listed)).toEqual(new Set(Object.values(CALLER_HEADERS)));
  });
});
