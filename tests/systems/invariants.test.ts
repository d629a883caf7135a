import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  checkBudget,
  estimateJobSize,
  placeQueuedJobs,
  planCapacity,
  planWaveSteps,
  recordRun,
} from '../../src/systems/index.js';
import type { PoolTables, PoolVmRow } from '../../src/tables/index.js';
import { SeededRng } from '../../src/utils/index.js';
import {
  changeVms,
  makeGrant,
  makePool,
  makeRequest,
  makeSettings,
  makeVm,
  putSteps,
  startWave,
} from './fixtures.js';

const PARAMETERS = { seed: 20_261_202, numRuns: 60, verbose: 0 } as const;

/** One event in a pool; `pick` selects the VM that it affects. */
const event = fc.record({
  type: fc.constantFrom('lose', 'return', 'finish-step', 'fail-run', 'plan', 'plan'),
  pick: fc.nat(1_000),
});

/** Checks that the pool is within its budget, which every planned action has to preserve. */
function expectBudget(tables: PoolTables, nowMs: number): void {
  expect(checkBudget(tables, { nowMs })).toMatchObject({ type: 'within' });
}

/** Plans and applies steps and moves, and checks the budget after each that takes VMs out. */
function planAndApply(tables: PoolTables, nowMs: number, spares: Map<string, PoolVmRow>): void {
  planWaveSteps(tables, { nowMs, minuteOfDay: 0 }).forEach((decision) => {
    if (decision.type !== 'start-step') return;
    putSteps(tables, [decision.vm], 'intended');
    expectBudget(tables, nowMs);
  });
  planCapacity(tables, { nowMs, unassignedVms: [...spares.values()] }).forEach(({ type, vm }) => {
    const wasWithin = checkBudget(tables, { nowMs }).type === 'within';
    if (type === 'adopt') {
      tables.vms.put(spares.get(vm)!);
      spares.delete(vm);
      return;
    }
    spares.set(vm, tables.vms.getOrThrow(vm));
    tables.vms.remove(vm);
    if (wasWithin) expectBudget(tables, nowMs);
  });
}

describe('decisions in any order of events', () => {
  it(`never break the availability budget (seed ${PARAMETERS.seed})`, () => {
    const events = fc.array(event, { maxLength: 80 });
    const property = fc.property(
      events,
      fc.double({ min: 0, max: 1, noNaN: true }),
      (list, weight) => {
        const maintenance = { rollOutWeight: weight };
        const tables = makePool(5, makeSettings({ neededSlotCount: 48, maintenance }));
        const spares = new Map([8, 9].map((rack) => makeVm(rack, 0)).map((vm) => [vm.vm, vm]));
        startWave(tables);
        list.forEach(({ type, pick }, index) => {
          const nowMs = index * 30_000;
          const vms = tables.vms.list();
          const { vm } = vms[pick % vms.length]!;
          if (type === 'lose') changeVms(tables, [vm], { condition: 'unreachable' });
          if (type === 'return') changeVms(tables, [vm], { condition: 'accepting' });
          const step = tables.waveSteps.list().find(({ state }) => state === 'intended');
          if (type === 'finish-step' && step) putSteps(tables, [step.vm], 'maintained');
          if (type === 'fail-run') {
            const run = { jobKind: `kind-${pick % 5}`, ranMs: 1, excludedVms: [] };
            const failed = {
              ...run,
              nowMs,
              vm,
              requestId: `r-${index}`,
              result: 'failed',
            } as const;
            if (recordRun(tables, failed).length > 0) expectBudget(tables, nowMs);
          }
          if (type === 'plan') planAndApply(tables, nowMs, spares);
        });
      },
    );
    fc.assert(property, PARAMETERS);
  });

  it(`never overfill a VM or a quota (seed ${PARAMETERS.seed})`, () => {
    const request = fc.record({
      team: fc.constantFrom('large', 'small', 'other'),
      urgency: fc.constantFrom('urgent' as const, 'normal' as const, 'overnight' as const),
      coreCount: fc.constantFrom(0.5, 1, 4, 20),
      memoryMb: fc.constantFrom(100, 2_000, 9_000, 20_000),
    });
    const property = fc.property(
      fc.array(request, { maxLength: 120 }),
      fc.nat(),
      (requests, seed) => {
        const quotas = { large: { slotCount: 9, weight: 3 }, '*': { slotCount: 5 } };
        const tables = makePool(2, makeSettings({ quotas }));
        requests.forEach((fields, id) => tables.queue.put(makeRequest(`r-${id}`, fields)));
        const rng = new SeededRng(seed);
        [0, 300, 600].forEach((nowMs) =>
          placeQueuedJobs(tables, { nowMs, rng }).forEach((decision) => {
            if (decision.type !== 'place') return;
            const row = tables.queue.getOrThrow(decision.attemptId);
            expect(estimateJobSize(tables, row).memoryMb).toBe(decision.memoryMb);
            tables.queue.remove(row.attemptId);
            const { attemptId, queuedAtMs, excludedVms, ...rest } = row;
            tables.grants.put({
              ...makeGrant(attemptId, decision.vm),
              ...rest,
              grantedAtMs: nowMs,
            });
          }),
        );
        const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);
        const grants = tables.grants.list();
        tables.vms.list().forEach((vm) => {
          const own = grants.filter((grant) => grant.vm === vm.vm);
          expect(own.length).toBeLessThanOrEqual(vm.slotCount);
          expect(sum(own.map(({ memoryMb }) => memoryMb))).toBeLessThanOrEqual(vm.memoryMb);
          expect(sum(own.map(({ coreCount }) => coreCount))).toBeLessThanOrEqual(vm.coreCount);
        });
        const heldBy = (team: string): number => grants.filter((row) => row.team === team).length;
        expect(heldBy('large')).toBeLessThanOrEqual(9);
        expect(Math.max(heldBy('small'), heldBy('other'))).toBeLessThanOrEqual(5);
      },
    );
    fc.assert(property, PARAMETERS);
  });
});
