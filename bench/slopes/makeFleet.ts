import { applyEntry } from '../../src/log/index.js';
import { type RecordBody, RECORD_FORMAT_VERSION } from '../../src/records/index.js';
import { FleetTables } from '../../src/tables/index.js';

const DOCUMENT = JSON.stringify({
  formatVersion: 1,
  team: 'TEAM',
  pools: {
    pool: {
      neededSlotCount: 80,
      availability: { failureDomain: 'rack', maxUnavailableFraction: 0.2 },
      jobKinds: { job: { coreCount: 1, memoryMb: 512, expectedRunMs: 5_000, idempotent: false } },
    },
  },
});

/** Applies a record at the end of the state. */
function applyBody(tables: FleetTables, body: RecordBody): string {
  const offset = tables.nextOffset;
  const recordId = `record-${offset}`;
  const payload = { formatVersion: RECORD_FORMAT_VERSION, recordId, writer: 'bench', body };
  return applyEntry(tables, { offset, payload }).type;
}

/**
 * Applies the claim of one request.
 * @param tables - The state.
 * @param requestId - Id of the request.
 * @returns What the fold said.
 */
export function claim(tables: FleetTables, requestId: string): string {
  return applyBody(tables, {
    type: 'requests-claimed',
    pool: 'team-0/pool',
    instance: 'entry-1',
    term: 1,
    claims: [{ requestId, entry: 'entry-1', keepUntilMs: 4e12, fingerprint: 'f'.repeat(16) }],
  });
}

/**
 * Makes the state that instances fold: settings, an instance with a home, and claims.
 * @param teamCount - Teams with a pool each.
 * @param claimCount - Claims on non-idempotent requests.
 * @returns The state after the records that lead to it.
 */
export function makeFleet(teamCount: number, claimCount: number): FleetTables {
  const tables = new FleetTables();
  Array.from({ length: teamCount }, (ignored, index) => `team-${index}`).forEach((team) =>
    applyBody(tables, {
      type: 'settings-published',
      team,
      baseVersion: 0,
      document: DOCUMENT.replace('TEAM', team),
      author: 'bench',
    }),
  );
  applyBody(tables, {
    type: 'instance-joined',
    instance: 'entry-1',
    host: '127.0.0.1',
    peerPort: 1,
    callerPort: 2,
    dataCentre: 'dc-1',
  });
  applyBody(tables, {
    type: 'home-claimed',
    pool: 'team-0/pool',
    instance: 'entry-1',
    expectedTerm: 0,
  });
  Array.from({ length: claimCount }, (ignored, index) => index).forEach((index) =>
    claim(tables, `request-${index}`),
  );
  return tables;
}
