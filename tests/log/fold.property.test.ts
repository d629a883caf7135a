import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyEntry, restoreTables, serializeTables } from '../../src/log/index.js';
import type { LogEntry } from '../../src/platform/index.js';
import { FleetTables } from '../../src/tables/index.js';
import { createInstance } from './support/createInstance.js';
import { MemoryLog } from './support/MemoryLog.js';
import {
  appendsArbitrary,
  appendRecords,
  type AppendedRecord,
  RECORD_TYPES,
} from './support/RandomFleet.js';

const SEED = 20_261;
const RUNS = { seed: SEED, numRuns: 150 };

function toEntries(played: readonly AppendedRecord[]): readonly LogEntry[] {
  return played.map(({ payload }, offset) => ({ offset, payload }));
}

function foldAll(entries: readonly LogEntry[], tables = new FleetTables()): FleetTables {
  entries.forEach((entry) => applyEntry(tables, entry));
  return tables;
}

function acceptedBodies(played: readonly AppendedRecord[]) {
  return played.filter(({ verdict }) => verdict.type === 'accepted').map(({ body }) => body);
}

function claimedRequestIds({ body, verdict }: AppendedRecord): readonly string[] {
  if (body.type !== 'requests-claimed' || verdict.type !== 'accepted') return [];
  const ids = body.claims.map((claim) => claim.requestId);
  return ids.filter((id) => !verdict.refusedRequestIds?.includes(id));
}

function countDuplicates(keys: readonly string[]): number {
  return keys.length - new Set(keys).size;
}

describe(`fold of random records, seed ${SEED}`, () => {
  it('gives the same state through a snapshot at any place', () => {
    fc.assert(
      fc.property(appendsArbitrary, fc.nat(), (moves, cut) => {
        const entries = toEntries(appendRecords(moves));
        const place = 1 + (cut % entries.length);
        const state = serializeTables(foldAll(entries.slice(0, place)));
        const restored = new FleetTables();
        restoreTables(restored, JSON.parse(JSON.stringify(state)));
        foldAll(entries.slice(place), restored);
        expect(serializeTables(restored)).toEqual(serializeTables(foldAll(entries)));
      }),
      RUNS,
    );
  });

  it('gives the same state whatever order peers push the records in', () => {
    const pushes = fc.array(fc.nat(), { minLength: 200, maxLength: 200 });
    fc.assert(
      fc.property(appendsArbitrary, pushes, (moves, picks) => {
        const entries = toEntries(appendRecords(moves));
        const { follower, tables } = createInstance(new MemoryLog());
        picks.forEach((pick, index) => {
          const first = pick % entries.length;
          follower.offer(entries.slice(first, first + (index % 7)));
        });
        follower.offer(entries);
        expect(serializeTables(tables)).toEqual(serializeTables(foldAll(entries)));
      }),
      RUNS,
    );
  });

  it('gives each pool one home per term, each VM one pool and each request one claim', () => {
    const acceptedTypes = new Set<string>();
    fc.assert(
      fc.property(appendsArbitrary, (moves) => {
        const played = appendRecords(moves);
        const bodies = acceptedBodies(played);
        bodies.forEach((body) => acceptedTypes.add(body.type));
        const terms = bodies.flatMap((body) =>
          body.type === 'home-claimed' ? [`${body.pool} ${body.expectedTerm}`] : [],
        );
        expect(countDuplicates(terms)).toBe(0);
        expect(countDuplicates(played.flatMap(claimedRequestIds))).toBe(0);
        const poolByVm = new Map<string, string | undefined>();
        bodies.forEach((body) => {
          if (body.type === 'vm-adopted') {
            expect(poolByVm.get(body.vm)).toBeUndefined();
            poolByVm.set(body.vm, body.pool);
          }
          if (body.type === 'vm-released') {
            expect(poolByVm.get(body.vm)).toBe(body.pool);
            poolByVm.set(body.vm, undefined);
          }
        });
      }),
      RUNS,
    );
    // The checks above prove something only if each type of record was accepted in some run.
    expect([...acceptedTypes].sort()).toEqual([...RECORD_TYPES].sort());
  });
});
