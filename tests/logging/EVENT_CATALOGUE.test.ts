import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { EVENT_CATALOGUE } from '../../src/logging/index.js';

const AREA_SIZE = 1000;
const CATALOGUE_FOLDER = join('src', 'logging');
const events = Object.entries(EVENT_CATALOGUE);

const sources = ['src', 'platform']
  .flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: 'utf8' }).map((name) => join(folder, name)),
  )
  .filter((name) => name.endsWith('.ts') && !name.startsWith(CATALOGUE_FOLDER))
  .map((name) => readFileSync(name, 'utf8'));

const documented = readFileSync('docs/LOG-EVENTS.md', 'utf8')
  .split('\n')
  .filter((line) => /^\| \d+ +\|/.test(line))
  .map((line) => line.split('|').map((cell) => cell.trim()));

describe('EVENT_CATALOGUE', () => {
  it('gives each event a number of its own', () => {
    expect(new Set(events.map(([, { number }]) => number)).size).toBe(events.length);
  });

  it.each([
    ['callerEvents', 1],
    ['homeEvents', 2],
    ['fleetEvents', 3],
    ['logEvents', 4],
    ['peerEvents', 5],
    ['taskEvents', 6],
    ['daemonEvents', 9],
  ])('keeps %s in the area of %i000', async (file, area) => {
    const module = await import(`../../src/logging/events/${file}.ts`);
    const [areaEvents] = Object.values(module) as [typeof EVENT_CATALOGUE];
    const areas = Object.values(areaEvents).map(({ number }) => Math.floor(number / AREA_SIZE));
    expect(new Set(areas)).toEqual(new Set([area]));
  });

  it('is what docs/LOG-EVENTS.md lists, in the same order', () => {
    expect(
      documented.map(([, number, event, level, text]) => [number, event, level, text]),
    ).toEqual(
      events.map(([name, { number, level, text }]) => [`${number}`, `\`${name}\``, level, text]),
    );
  });

  it('holds no event that nothing writes', () => {
    const unwritten = events
      .map(([name]) => name)
      .filter((name) => !sources.some((source) => source.includes(`'${name}'`)));
    expect(unwritten).toEqual([]);
  });
});
