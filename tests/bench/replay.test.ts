import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { expectedOutcomeSchema } from '../../bench/ExpectedOutcome.js';
import { replayTrace } from '../../bench/replayTrace.js';
import { readTrace } from '../../bench/traces/index.js';

const DIRECTORY = 'traces';
const SUFFIX = '.expected.json';
const names = readdirSync(DIRECTORY)
  .filter((file) => file.endsWith(SUFFIX))
  .map((file) => file.slice(0, -SUFFIX.length));

describe('recorded traces', () => {
  it('exist for every subject', () => {
    expect(names.length).toBe(10);
  });

  it.each(names)('replay %s to the outcome that is stated for it', (name) => {
    const text = readFileSync(`${DIRECTORY}/${name}${SUFFIX}`, 'utf8');
    const expected = expectedOutcomeSchema.parse(JSON.parse(text));
    const { figures, brokenPromises } = replayTrace(readTrace(`${DIRECTORY}/${name}.jsonl`));
    expect(brokenPromises).toEqual([]);
    expect(figures).toMatchObject(expected.exactly);
    Object.entries(expected.atMost).forEach(([key, limit]) =>
      expect(figures[key], key).toBeLessThanOrEqual(limit),
    );
    Object.entries(expected.atLeast).forEach(([key, limit]) =>
      expect(figures[key], key).toBeGreaterThanOrEqual(limit),
    );
  });
});

describe('readTrace', () => {
  it('names file, line and field of what it cannot read', () => {
    expect(() => readTrace('tests/bench/broken.jsonl')).toThrow(
      /tests\/bench\/broken\.jsonl:1: pools: /,
    );
  });
});
