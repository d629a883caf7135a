import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { METRIC_CATALOGUE } from '../../src/metrics/index.js';

const listed = readFileSync('docs/METRICS.md', 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('| `'))
  .map((line) => line.split('|').map((cell) => cell.trim()));

describe('METRIC_CATALOGUE', () => {
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
