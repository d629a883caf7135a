import { expect, it } from 'vitest';
import { isEmpty } from '../../src/fleetHome/isEmpty.js';
import type { TargetLoad } from '../../src/systems/index.js';

const VM = { vm: 'm1', pool: 'pages', state: 'up' } as const;

const makeLoads = (runCount: number): ReadonlyMap<string, TargetLoad> => {
  const load = { longRunningCount: 0, usedCpuMillicores: 0, cpuMillicores: 4_000 };
  return new Map([['t1', { targetId: 't1', runCount, ...load }]]);
};

it('considers a VM empty only if it is known to run nothing', () => {
  expect(isEmpty(VM, new Map())).toBe(true);
  expect(isEmpty({ ...VM, targetId: 't1' }, makeLoads(0))).toBe(true);
  expect(isEmpty({ ...VM, targetId: 't1' }, makeLoads(1))).toBe(false);
  expect(isEmpty({ ...VM, targetId: 't2' }, makeLoads(0))).toBe(false);
});
