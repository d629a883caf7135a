import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { METRIC_CATALOGUE } from '../../src/metrics/index.js';

const page = readFileSync('docs/METRICS.md', 'utf8');
const listed = page
  .split('\n')
  .filter((line) => line.startsWith('| `'))
  .map((line) => line.split('|').map((cell) => cell.trim()));

const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.ts') && !name.startsWith('metrics'))
  .map((name) => readFileSync(join('src', name), 'utf8'));

describe('METRIC_CATALOGUE', () => {
  it('holds none that nothing writes, but for those that docs/METRICS.md owns up to', () => {
    const [, admitted = ''] = page.split('written nowhere yet:');
    const unwritten = Object.keys(METRIC_CATALOGUE).filter(
      (name) => !sources.some((source) => source.includes(`'${name}'`)),
    );
    expect(unwritten.filter((name) => !admitted.includes(`\`${name}\``))).toEqual([]);
  });

  it('is what docs/METRICS.md lists, in the same order', () => {
    const rows = Object.entries(METRIC_CATALOGUE).map(([name, { type, unit, tags, meaning }]) => {
      const tagCell = tags.map((tag) => `\`${tag}\``).join(', ');
      return ['', `\`${name}\``, type, unit, tagCell, meaning, ''];
    });
    expect(listed).toEqual(rows);
  });

  it('ends the names of timers, and of nothing else, in their unit', () => {
    Object.entries(METRIC_CATALOGUE).forEach(([name, { type }]) =>
      expect([name, name.endsWith('_ms')]).toEqual([name, type === 'timer']),
    );
  });
});
