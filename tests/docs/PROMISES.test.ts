import { existsSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

const STATES = /^(proved|partial|not proved|not promised)/;
const TEST_CELL = /^`(?<file>[^`]+)` › (?<name>.+)$/;

interface PromiseRow {
  readonly guard: string;
  readonly test: string;
  readonly state: string;
}

const rows: readonly PromiseRow[] = readFileSync('docs/PROMISES.md', 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('|'))
  .map((line) =>
    line
      .slice(1, -1)
      .split('|')
      .map((cell) => cell.trim()),
  )
  .filter(([first]) => first !== 'failure' && !first?.startsWith('---'))
  .map(([, guard = '', test = '', , state = '']) => ({ guard, test, state }));

describe('docs/PROMISES.md', () => {
  it('names only tests that exist', () => {
    const named = rows
      .map(({ test }) => TEST_CELL.exec(test)?.groups)
      .filter((groups) => groups !== undefined);
    const missing = named.filter(
      ({ file = '', name = '' }) => !existsSync(file) || !readFileSync(file, 'utf8').includes(name),
    );
    expect(missing).toEqual([]);
    expect(named.length).toBeGreaterThan(40);
  });

  it('names only guards that exist', () => {
    const files = rows.flatMap(({ guard }) => guard.match(/src\/[\w./]+\.ts/g) ?? []);
    expect(files.filter((file) => !existsSync(file))).toEqual([]);
  });

  it('states for each row whether it is proved', () => {
    expect(rows.filter(({ state }) => !STATES.test(state))).toEqual([]);
    const unproved = rows.filter(({ test }) => test === '—');
    expect(unproved.every(({ state }) => state.startsWith('not proved'))).toBe(true);
  });
});
