import { describe, expect, it } from 'vitest';
import { checkTeamSettings, formatProblem } from '../../src/settings/index.js';

const POOL = `"neededSlotCount": 40,
  "availability": { "failureDomain": "rack", "maxUnavailableFraction": 0.25 },
  "jobKinds": {
    "save": { "coreCount": 1, "memoryMb": 512, "expectedRunMs": 900, "idempotent": false },
  }`;

function documentOf(pool: string): string {
  return `{\n  // Comment\n  "formatVersion": 1,\n  "team": "wiki",\n  "pools": { "saves": {\n  ${pool}\n} } }`;
}

function linesOf(text: string, team?: string): readonly string[] {
  const result = checkTeamSettings(text, 'wiki.jsonc', { team });
  const problems = result.type === 'valid' ? result.warnings : result.problems;
  return [result.type, ...problems.map(formatProblem)];
}

function expectInvalid(text: string, ...lines: readonly string[]): void {
  expect(linesOf(text)).toEqual(['invalid', ...lines.map((line) => `wiki.jsonc:${line}`)]);
}

describe('checkTeamSettings', () => {
  it('accepts comments and trailing commas and fills in defaults', () => {
    const result = checkTeamSettings(documentOf(POOL), 'wiki.jsonc');
    expect(result).toMatchObject({
      type: 'valid',
      value: { pools: { saves: { maintenance: { rollOutWeight: 0.5 }, dataCentres: [] } } },
      warnings: [],
    });
  });

  it('places errors of syntax', () => {
    expectInvalid('', '1:1: expected a value but found the end of the document');
    expectInvalid('{"a": 1,\n "b" 2}', '2:6: expected a colon after the key but found 2');
    expectInvalid('{"a": "b\n}', '1:7: expected the closing double quote of the text but found "b');
    expectInvalid('{', '1:2: expected a closing brace "}" but found the end of the document');
  });

  it('names unknown keys with the one that was meant, and what is missing', () => {
    expectInvalid(
      documentOf(POOL.replace('neededSlotCount', 'neededSlotcount')),
      '5:23 pools.saves.neededSlotCount: expected a number but found nothing',
      '6:3 pools.saves.neededSlotcount: expected one of the keys neededSlotCount, availability, ' +
        'dataCentres, jobKinds, quotas, maintenance but found the unknown key "neededSlotcount" ' +
        '(did you mean "neededSlotCount"?)',
    );
  });

  it('names wrong types, ranges and names', () => {
    expectInvalid(
      documentOf(
        POOL.replace('"rack"', '"shelf"')
          .replace('0.25', '0.75')
          .replace('40', '"40"')
          .replace('"save"', '"Save"'),
      ),
      '6:22 pools.saves.neededSlotCount: expected a number but found "40"',
      '7:38 pools.saves.availability.failureDomain: ' +
        'expected "vm", "worker", "rack" or "data-centre" but found "shelf"',
      '7:73 pools.saves.availability.maxUnavailableFraction: ' +
        'expected a number of at most 0.5 but found 0.75',
      '9:5 pools.saves.jobKinds.Save: ' +
        'expected a lower-case name of letters, digits and hyphens but found the key "Save"',
    );
  });

  it('refuses a key that stands twice, which plain JSON would let the last one win', () => {
    expectInvalid(
      documentOf(`${POOL}, "neededSlotCount": 4`),
      '10:6 pools.saves.neededSlotCount: ' +
        'expected each key once but found the key "neededSlotCount" again',
    );
  });

  it('checks across fields', () => {
    const noKinds = POOL.replace(/"jobKinds"[^]*$/, '"jobKinds": {}');
    expectInvalid(
      documentOf(`${noKinds}, "quotas": { "other": { "slotCount": 1 } },
  "maintenance": { "windowStartMinuteOfDay": 60, "windowEndMinuteOfDay": 60 }`),
      '8:15 pools.saves.jobKinds: expected at least one job kind but found none',
      '8:29 pools.saves.quotas: expected a quota for "wiki" or for "*" but found neither',
      '9:74 pools.saves.maintenance.windowEndMinuteOfDay: expected another minute than ' +
        'windowStartMinuteOfDay but found 60, a window of no length',
    );
  });

  it('warns of a budget that no VM fits, and accepts', () => {
    expect(linesOf(documentOf(POOL.replace('0.25', '0.02')))).toEqual([
      'valid',
      'wiki.jsonc:7:72 pools.saves.availability.maxUnavailableFraction: warning: expected ' +
        'at least 1/40, or not even a VM of one slot may be out but found 0.02',
    ]);
  });

  it('refuses the document of another team', () => {
    expect(linesOf(documentOf(POOL), 'search')).toEqual([
      'invalid',
      'wiki.jsonc:4:11 team: expected "search", the own team but found "wiki"',
    ]);
  });

  // An operator's broken generator publishes thousands of opening brackets. Every instance reads
  // the record and its recursive parser overflows the stack; the error escapes from the fold, each
  // instance stops at that offset and starts into the same record again.
  it('refuses excessive nesting without parsing it', () => {
    expectInvalid(
      '['.repeat(1_000_000),
      '1:65: expected at most 64 levels of nesting but found one more',
    );
  });

  // A publication has a mistake on each of its lines. Each instance that reads it describes them
  // all, which takes minutes; no lease is renewed meanwhile, and every pool loses its home.
  it.each([
    ['errors of syntax', 'x\n'.repeat(250_000)],
    ['unknown keys', `{${Array.from({ length: 40_000 }, (_, key) => `"k${key}":1`).join(',\n')}}`],
    ['repeated keys', `{${'"k":1,\n'.repeat(60_000)}}`],
  ])('describes only the first of very many %s', (_, text) => {
    const lines = linesOf(text);
    expect(lines[0]).toBe('invalid');
    expect(lines.length).toBeLessThan(200);
  });

  // A document names a pool `__proto__`. The schema's check passes over that key, so that the pool
  // would be accepted unchecked and then be nowhere to be found.
  it('refuses the key that stands for the prototype', () => {
    expectInvalid(
      '{"formatVersion": 1, "team": "wiki", "pools": {"__proto__": {}}}',
      '1:48 pools.__proto__: expected another key, as this one is reserved ' +
        'but found the key "__proto__"',
    );
  });
});
