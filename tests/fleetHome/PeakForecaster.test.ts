import { beforeEach, describe, expect, it, vi } from 'vitest';
import { decodePeakForecastRecord } from '../../src/fleetHome/PeakForecastRecord.js';
import { PeakForecaster, type PeakForecasterOptions } from '../../src/fleetHome/PeakForecaster.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { ALL_MECHANISMS, disableMechanisms, type PoolDemand } from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { createFleetHome, makeDemand, OrderWorld } from './OrderWorld.js';

const POOLS = ['p1', 'p2', 'p3'];
const PASS_MS = 200;
const TURN_MS = 10_000;
const TARGET_IDS = Array.from({ length: 50 }, (_, index) => `t${index}`);

/** Creates the demand of a pool of 50 VMs that uses all of them in a peak, or one. */
function makeLoad(pool: string, isInPeak: boolean): PoolDemand {
  const demand = makeDemand(pool, 0, TARGET_IDS);
  const usedCpuMillicores = isInPeak ? 32_000 : 640;
  return { ...demand, targets: demand.targets.map((load) => ({ ...load, usedCpuMillicores })) };
}

describe('PeakForecaster', () => {
  let clock: ManualClock;
  let events: MemoryEventLog;
  let metrics: MemoryMetrics;
  let writes: (readonly KeyedRecord[])[];

  beforeEach(() => {
    clock = new ManualClock(50_000);
    events = new MemoryEventLog();
    metrics = new MemoryMetrics();
    writes = [];
  });

  function createForecaster(changes: Partial<PeakForecasterOptions> = {}): PeakForecaster {
    return new PeakForecaster({
      clock,
      events,
      metrics,
      mechanisms: ALL_MECHANISMS,
      forecastRecords: [],
      listPools: () => POOLS,
      store: async (records) => {
        writes.push(records);
      },
      ...changes,
    });
  }

  /** Plays a pass during a turn, counted from 1; none has one during 0. */
  function playPass(forecaster: PeakForecaster, turn: number): void {
    clock.advance(PASS_MS);
    const demands = POOLS.map((pool, index) =>
      makeLoad(pool, turn > 0 && (turn - 1) % POOLS.length === index),
    );
    forecaster.observe(
      demands,
      POOLS.map((pool) => ({ pool, vmCount: 50 })),
    );
  }

  /** Plays turns of 10 s after a calm time as long. */
  function playTurns(forecaster: PeakForecaster, turnCount: number): void {
    const passCount = ((turnCount + 1) * TURN_MS) / PASS_MS;
    Array.from({ length: passCount }, (_, pass) =>
      playPass(forecaster, Math.floor((pass * PASS_MS) / TURN_MS)),
    );
  }

  const listFields = (event: string, field: string): readonly unknown[] =>
    events.events.filter((line) => line.event === event).map(({ fields }) => fields[field]);

  it('logs and counts peaks by whether they were expected in time', () => {
    playTurns(createForecaster(), 4);
    expect(listFields('peakBegan', 'pool')).toEqual(['p1', 'p2', 'p3', 'p1']);
    const foresight = ['no', 'no', 'in-time', 'in-time'];
    expect(listFields('peakBegan', 'foresight')).toEqual(foresight);
    expect(metrics.measurements.map(({ tags }) => tags.result)).toEqual(foresight);
    expect(listFields('peakEnded', 'pool')).toEqual(['p1', 'p2', 'p3']);
  });

  it('logs what is expected once for each change', () => {
    playTurns(createForecaster(), 4);
    expect(listFields('peakExpected', 'pool').length).toBeLessThanOrEqual(8);
  });

  it('writes no more often than every 5 s, and small records', () => {
    playTurns(createForecaster(), 12);
    expect(writes.length).toBeLessThanOrEqual(26);
    const sizes = writes.flat().map(({ value }) => value!.length);
    expect(Math.max(...sizes)).toBeLessThan(1_000);
  });

  it('goes on in the next home with what was stored', () => {
    playTurns(createForecaster(), 2);
    const newest = new Map(writes.flat().map((record) => [record.key, record]));
    const forecastRecords = [...newest.values()].map((record) => decodePeakForecastRecord(record)!);
    const next = createForecaster({ forecastRecords });
    playPass(next, 2);
    expect(next.listExpectedPeaks()).toMatchObject([{ pool: 'p3', confidence: 1 }]);
  });

  // Guards against a forecast that stops with the store: only the next home has to learn again.
  it('goes on while the store rejects its records', () => {
    const forecaster = createForecaster({ store: async () => Promise.reject(new Error('down')) });
    playTurns(forecaster, 2);
    expect(forecaster.listExpectedPeaks()).toMatchObject([{ pool: 'p3' }]);
  });

  it('expects, stores and logs nothing while the mechanism is disabled', () => {
    const forecaster = createForecaster({ mechanisms: disableMechanisms(['peaks-foreseen']) });
    playTurns(forecaster, 4);
    expect(forecaster.listExpectedPeaks()).toEqual([]);
    expect([events.events, writes, metrics.measurements]).toEqual([[], [], []]);
  });

  it('learns nothing where no pool has peaks', () => {
    const forecaster = createForecaster();
    playTurns(forecaster, 0);
    expect(forecaster.listExpectedPeaks()).toEqual([]);
    expect(writes).toEqual([]);
  });
});

describe('FleetHome with recurring peaks', () => {
  it('observes the load of the pools in its passes', async () => {
    const world = new OrderWorld();
    const home = createFleetHome(world, {
      peakRecords: [{ pool: 'pages', vmCount: 50 }],
      store: async () => undefined,
    });
    world.demands.set('pages', makeLoad('pages', true));
    home.start();
    await vi.waitFor(() =>
      expect(world.events.events.map(({ event }) => event)).toContain('peakBegan'),
    );
    home.close();
  });
});
