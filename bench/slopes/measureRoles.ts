import { Encoder } from 'cbor-x';
import type { SerializedTables } from '../../src/log/index.js';
import { serializeTables } from '../../src/log/index.js';
import type { GrantReply, GrantRequest, PeerRequest } from '../../src/peers/index.js';
import { placeQueuedJobs, planCapacity, planWaveSteps } from '../../src/systems/index.js';
import type { PoolTables } from '../../src/tables/index.js';
import { SeededRng } from '../../src/utils/index.js';
import { type BusyPoolOptions, makeBusyPool } from './makeBusyPool.js';
import { claim, makeFleet } from './makeFleet.js';
import { measureCpuUs } from './measureCpuUs.js';
import { measureHeapKb } from './measureHeapKb.js';
import type { Slope, SlopePoint } from './Slope.js';

const NOW_MS = 100_000;
const POOL: BusyPoolOptions = {
  vmCount: 60,
  queuedCount: 200,
  teamCount: 20,
  usedSlotsPerVm: 4,
  waveRuns: false,
};

/** Measures an act on a pool at some sizes. */
function measurePool(
  role: string,
  dimension: string,
  sizes: readonly number[],
  optionsOf: (size: number) => Partial<BusyPoolOptions>,
  act: (tables: PoolTables) => void,
): Slope {
  const points = sizes.map((size): SlopePoint => {
    const { value, heapKb } = measureHeapKb(() => makeBusyPool({ ...POOL, ...optionsOf(size) }));
    return { size, cpuUs: measureCpuUs(() => act(value)), heapKb, byteCount: 0 };
  });
  return { role, dimension, points };
}

/** Runs the placement; the tables stay as they are, so each call costs the same. */
function place(tables: PoolTables): void {
  placeQueuedJobs(tables, { nowMs: NOW_MS, rng: new SeededRng(1) });
}

/** Plans waves and capacity, as a home does several times a second. */
function plan(tables: PoolTables): void {
  planWaveSteps(tables, { nowMs: NOW_MS, minuteOfDay: 0 });
  planCapacity(tables, { nowMs: NOW_MS, unassignedVms: [] });
}

/** Cost of the messages of one job between entry instance and home. */
function measureEntry(): Slope {
  const encoder = new Encoder();
  const points = [256, 1_024, 4_096].map((size): SlopePoint => {
    const request: GrantRequest = {
      type: 'request-grant',
      attemptId: 'entry-1-0001',
      requestId: 'r'.repeat(36),
      pool: 'team/pool',
      team: 'team',
      jobKind: 'job',
      urgency: 'normal',
      coreCount: 1,
      memoryMb: 512,
      idempotent: false,
      deadlineAtMs: 1.8e12,
      fingerprint: 'f'.repeat(16),
      excludedVms: Array.from({ length: size / 256 - 1 }, () => 'v'.repeat(250)),
    };
    const reply: GrantReply = {
      type: 'granted',
      grantId: 'entry-1-0001',
      term: 1,
      vm: 'vm-0001',
      host: '127.0.0.1',
      port: 8_080,
      heldMs: 1,
    };
    const finish: PeerRequest = {
      type: 'finish-grant',
      pool: 'team/pool',
      grantId: 'entry-1-0001',
      requestId: 'r'.repeat(36),
      jobKind: 'job',
      vm: 'vm-0001',
      isClaimed: true,
      result: 'run',
      outcome: 'run',
      ranMs: 400,
    };
    const messages: readonly object[] = [request, reply, finish, { type: 'done' }];
    const byteCount = messages.reduce<number>((sum, one) => sum + encoder.encode(one).length, 0);
    const cpuUs = measureCpuUs(() =>
      messages.forEach((message) => encoder.decode(encoder.encode(message))),
    );
    return { size, cpuUs, heapKb: 0, byteCount };
  });
  return { role: 'entry: codec of one job', dimension: 'bytes of the request', points };
}

/** Cost of one claim record in the fold, by claims that the state holds. */
function measureFollower(): Slope {
  const points = [1_000, 10_000, 50_000].map((size): SlopePoint => {
    const { value, heapKb } = measureHeapKb(() => makeFleet(350, size));
    let added = 0;
    const cpuUs = measureCpuUs(() => {
      added += 1;
      claim(value, `more-${added}`);
    });
    return { size, cpuUs, heapKb, byteCount: 0 };
  });
  return { role: 'log follower: one claim record', dimension: 'claims in the state', points };
}

/** Bytes of a snapshot's rows as text. */
function snapshotBytes(state: SerializedTables): number {
  return JSON.stringify(state).length;
}

/** Cost of one snapshot, by claims that the state holds. */
function measureSnapshot(): Slope {
  const points = [1_000, 10_000, 50_000].map((size): SlopePoint => {
    const tables = makeFleet(350, size);
    const { value, heapKb } = measureHeapKb(() => JSON.stringify(serializeTables(tables)));
    const cpuUs = measureCpuUs(() => snapshotBytes(serializeTables(tables)));
    return { size, cpuUs, heapKb, byteCount: value.length };
  });
  return { role: 'snapshot writer: one snapshot', dimension: 'claims in the state', points };
}

/** Messages of all instances together, by count of instances: it grows with the square. */
function measureHeartbeats(): Slope {
  const encoder = new Encoder();
  const byteCount = encoder.encode({ type: 'heartbeat' }).length;
  const points = [8, 16, 32].map((size): SlopePoint => {
    const messageCount = size * (size - 1) * 2;
    const cpuUs = measureCpuUs(() =>
      Array.from({ length: messageCount }).forEach(() =>
        encoder.decode(encoder.encode({ type: 'heartbeat' })),
      ),
    );
    return { size, cpuUs, heapKb: 0, byteCount: byteCount * messageCount };
  });
  return { role: 'peer heartbeats: codec of one second', dimension: 'instances', points };
}

/**
 * Measures what each role costs at three or more sizes.
 * @returns Slopes by role and dimension.
 */
export function measureRoles(): readonly Slope[] {
  return [
    measureEntry(),
    measurePool(
      'home: placement, pool full',
      'queued requests',
      [50, 200, 800, 3_200],
      (size) => ({
        queuedCount: size,
      }),
      place,
    ),
    measurePool(
      'home: placement, pool empty',
      'queued requests',
      [50, 200, 800],
      (size) => ({
        queuedCount: size,
        usedSlotsPerVm: 0,
      }),
      place,
    ),
    measurePool(
      'home: placement, pool full',
      'VMs of the pool',
      [20, 60, 240, 600],
      (size) => ({
        vmCount: size,
      }),
      place,
    ),
    measurePool(
      'home: placement, pool full',
      'teams',
      [5, 50, 350],
      (size) => ({
        teamCount: size,
        queuedCount: 700,
      }),
      place,
    ),
    measurePool(
      'home: one request, pool half full',
      'VMs of the pool',
      [30, 60, 240, 600],
      (size) => ({
        vmCount: size,
        usedSlotsPerVm: 2,
        queuedCount: 1,
      }),
      place,
    ),
    measurePool(
      'wave and capacity planner, no wave',
      'VMs of the pool',
      [31, 62, 240, 600],
      (size) => ({
        vmCount: size,
      }),
      plan,
    ),
    measurePool(
      'wave and capacity planner, in a wave',
      'VMs of the pool',
      [31, 62, 240, 600],
      (size) => ({
        vmCount: size,
        waveRuns: true,
      }),
      plan,
    ),
    measureFollower(),
    measureSnapshot(),
    measureHeartbeats(),
  ];
}
