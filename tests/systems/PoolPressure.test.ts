import { expect, it } from 'vitest';
import { PoolPressure } from '../../src/systems/index.js';

const CORE = 1_000;

function note(pressure: PoolPressure, nowMs: number, coreCount: number, backlogCoreMs: number) {
  const capacityCpuMillicores = coreCount * CORE;
  pressure.note({ capacityCpuMillicores, backlogWork: backlogCoreMs * CORE, nowMs });
  return pressure.isLasting(nowMs);
}

// Failure: callers are refused at the start of a peak, seconds before the VMs that it needs join.
it('lasts once no VM has joined for as long as one needs, and not before', () => {
  const pressure = new PoolPressure();
  expect(note(pressure, 0, 8, 80_000)).toBe(false);
  expect(note(pressure, 3_000, 8, 80_000)).toBe(false);
  expect(note(pressure, 3_500, 16, 80_000)).toBe(false);
  expect(note(pressure, 7_000, 16, 80_000)).toBe(false);
  expect(note(pressure, 7_600, 16, 80_000)).toBe(true);
  expect(note(pressure, 7_700, 8, 80_000)).toBe(true);
});

// Failure: the order of a pool stays that of a peak for as long as no further job arrives.
it('ends once no job has arrived for a while', () => {
  const pressure = new PoolPressure();
  note(pressure, 0, 8, 80_000);
  expect(note(pressure, 5_000, 8, 80_000)).toBe(true);
  expect(pressure.isLasting(5_500)).toBe(true);
  expect(pressure.isLasting(7_000)).toBe(false);
});

it('ends once the pool can work its backlog off at once', () => {
  const pressure = new PoolPressure();
  note(pressure, 0, 8, 80_000);
  expect(note(pressure, 5_000, 8, 80_000)).toBe(true);
  expect(note(pressure, 6_000, 8, 4_000)).toBe(false);
  expect(note(pressure, 7_000, 8, 80_000)).toBe(false);
});
