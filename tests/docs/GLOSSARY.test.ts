import { existsSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

describe('docs/GLOSSARY.md', () => {
  it('names only places that exist', () => {
    const places = [
      ...readFileSync('docs/GLOSSARY.md', 'utf8').matchAll(/`((?:src|bench)\/[^`]+)`/g),
    ];
    expect(places.length).toBeGreaterThan(0);
    expect(places.map(([, place]) => place!).filter((place) => !existsSync(place))).toEqual([]);
  });
});
