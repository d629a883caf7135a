import { FleetTables } from '../../src/tables/index.js';
import { restoreTables, serializeTables } from '../../src/log/index.js';
import type { Clock } from '../../src/utils/index.js';
import { applyBodyAtEnd, buildFleet, type FleetSize, holderOf, poolAt } from './buildFleet.js';

const BYTES_PER_KIB = 1_024;
const CLAIMS_PER_RECORD = 20;

/** What the fold costs, as measured. */
export interface FoldFigures {
  readonly renewalsPerS: number;
  readonly claimRecordsPerS: number;
  readonly claimsPerS: number;
  /** Heap that 1,000 claims keep; absent unless the process runs with `--expose-gc`. */
  readonly heapKibPerThousandClaims: number | undefined;
  /** Size of the serialised state before the claims, without the record ids remembered. */
  readonly fleetKib: number;
  /** Size of the serialised state with everything. */
  readonly fullKib: number;
  readonly serializeMs: number;
  readonly restoreMs: number;
}

/** Options of {@link measureFold}. */
export interface FoldBenchOptions {
  readonly size: FleetSize;
  readonly renewalCount: number;
  readonly claimRecordCount: number;
  readonly clock: Clock;
}

function readHeapBytes(): number | undefined {
  if (globalThis.gc === undefined) return undefined;
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

function time(clock: Clock, act: () => void): number {
  const startMs = clock.monotonicMs();
  act();
  return clock.monotonicMs() - startMs;
}

function repeat(count: number, act: (index: number) => void): void {
  Array.from({ length: count }).forEach((_none, index) => act(index));
}

function applyClaims(tables: FleetTables, index: number, size: FleetSize): void {
  const poolIndex = index % size.poolCount;
  const claims = Array.from({ length: CLAIMS_PER_RECORD }, (_none, number) => ({
    requestId: `entry-instance-7:${index}:${number}:page-save`,
    entry: 'instance-7',
    keepUntilMs: 3_600_000,
    fingerprint: `${index * CLAIMS_PER_RECORD + number}`.padStart(16, '0'),
  }));
  const instance = holderOf(poolIndex, size);
  const acting = { pool: poolAt(poolIndex), instance, term: 1 };
  applyBodyAtEnd(tables, { type: 'requests-claimed', ...acting, claims, writtenAtMs: index });
}

/**
 * Measures how fast records apply and how large the state is.
 * @param options - Fleet, counts of records and clock.
 * @returns The figures.
 */
export function measureFold(options: FoldBenchOptions): FoldFigures {
  const { claimRecordCount, clock, renewalCount, size } = options;
  const tables = buildFleet(size);
  const { verdicts, ...fleetRows } = serializeTables(tables).rows;
  const fleetKib = JSON.stringify(fleetRows).length / BYTES_PER_KIB;
  const renewalMs = time(clock, () =>
    repeat(renewalCount, (index) => {
      const instance = `instance-${index % size.instanceCount}`;
      applyBodyAtEnd(tables, { type: 'instance-renewed', instance });
    }),
  );
  const heapBeforeBytes = readHeapBytes();
  const claimMs = time(clock, () =>
    repeat(claimRecordCount, (index) => applyClaims(tables, index, size)),
  );
  const heapAfterBytes = readHeapBytes();
  const claimCount = claimRecordCount * CLAIMS_PER_RECORD;
  const heapBytes = heapBeforeBytes === undefined ? undefined : heapAfterBytes! - heapBeforeBytes;
  let text = '';
  const serializeMs = time(clock, () => {
    text = JSON.stringify(serializeTables(tables));
  });
  const restoreMs = time(clock, () => {
    restoreTables(new FleetTables(), JSON.parse(text));
  });
  return {
    renewalsPerS: (renewalCount / renewalMs) * 1_000,
    claimRecordsPerS: (claimRecordCount / claimMs) * 1_000,
    claimsPerS: (claimCount / claimMs) * 1_000,
    heapKibPerThousandClaims:
      heapBytes === undefined ? undefined : (heapBytes / BYTES_PER_KIB / claimCount) * 1_000,
    fleetKib,
    fullKib: text.length / BYTES_PER_KIB,
    serializeMs,
    restoreMs,
  };
}
