import { describe, expect, it } from 'vitest';
import { checkBudget, planWaveSteps } from '../../src/systems/index.js';
import type { PoolTables } from '../../src/tables/index.js';
import { changeVms, makePool, makeSettings, POOL, putSteps, startWave } from './fixtures.js';

const RACK_0 = ['vm-00-00', 'vm-00-01', 'vm-00-02', 'vm-00-03'];
const RACK_5 = ['vm-05-00', 'vm-05-01', 'vm-05-02', 'vm-05-03'];

/** Plans at a time and returns each decision as `start <vm>`, `wait` or `stop-wave`. */
function plan(tables: PoolTables, nowMs = 0, minuteOfDay = 0): readonly string[] {
  return planWaveSteps(tables, { nowMs, minuteOfDay }).map((decision) =>
    decision.type === 'start-step' ? `start ${decision.vm}` : decision.type,
  );
}

describe('checkBudget', () => {
  it('counts the planned step and the largest failure domain on top of it', () => {
    const tables = makePool(4);
    const twoVms = RACK_0.slice(0, 2);
    expect(checkBudget(tables, { nowMs: 0, takenOutVms: twoVms })).toEqual({
      type: 'within',
      spareSlotCount: 0,
    });
    const verdict = checkBudget(tables, { nowMs: 0, takenOutVms: RACK_0.slice(0, 3) });
    expect(verdict).toMatchObject({ type: 'exceeded', reason: /36 slots would be left/ });
  });

  it('counts every VM that gives no service once, for whatever reason', () => {
    const tables = makePool(6, makeSettings({ neededSlotCount: 1 }));
    changeVms(tables, RACK_0, { condition: 'unreachable' });
    putSteps(tables, RACK_0.slice(0, 2), 'intended');
    expect(checkBudget(tables, { nowMs: 0, takenOutVms: RACK_5.slice(0, 3) }).type).toBe('within');
    expect(checkBudget(tables, { nowMs: 0, takenOutVms: RACK_5 }).type).toBe('exceeded');
  });
});

describe('planWaveSteps', () => {
  it('starts with one VM, then doubles, rack by rack', () => {
    const tables = makePool(6, makeSettings({ maintenance: { rollOutWeight: 1 } }));
    startWave(tables);
    expect(plan(tables)).toEqual(['start vm-00-00']);
    putSteps(tables, ['vm-00-00'], 'intended');
    expect(plan(tables)).toEqual(['wait']);
    putSteps(tables, ['vm-00-00'], 'maintained');
    expect(plan(tables)).toEqual(['start vm-00-01', 'start vm-00-02']);
    putSteps(tables, ['vm-00-01', 'vm-00-02'], 'maintained');
    expect(plan(tables).length).toBe(4);
  });

  it('uses one VM at weight 0 and as much as the budget allows at weight 1', () => {
    const stepCountAt = (rollOutWeight: number): number => {
      const settings = makeSettings({ neededSlotCount: 40, maintenance: { rollOutWeight } });
      const tables = makePool(6, settings);
      startWave(tables);
      putSteps(tables, RACK_0, 'maintained');
      putSteps(tables, RACK_5, 'maintained');
      return plan(tables).length;
    };
    expect([stepCountAt(0), stepCountAt(0.5), stepCountAt(1)]).toEqual([1, 4, 7]);
  });

  // Guards against a pool below its declared capacity: a rack loses power while a wave maintains
  // VMs elsewhere, and the four lost VMs add to those in maintenance. The wave has to wait at once,
  // and to continue when the rack is back.
  it('waits while a lost rack uses up the budget, and continues afterwards', () => {
    const tables = makePool(5);
    startWave(tables);
    putSteps(tables, RACK_0.slice(0, 2), 'maintained');
    const rack4 = ['vm-04-00', 'vm-04-01', 'vm-04-02', 'vm-04-03'];
    changeVms(tables, rack4, { condition: 'unreachable' });
    putSteps(tables, ['vm-01-00', 'vm-01-01'], 'intended');
    expect(plan(tables, 60_000)).toEqual(['wait']);
    changeVms(tables, rack4, { condition: 'accepting' });
    expect(plan(tables, 61_000)).toEqual(['start vm-00-02']);
  });

  // Guards against a wave that breaks all VMs: new firmware breaks every VM that boots with it. The
  // first VM never comes back, and each further step would lose one more VM for good.
  it('stops when the first VM fails to come back', () => {
    const tables = makePool(6);
    startWave(tables);
    putSteps(tables, ['vm-00-00'], 'failed');
    changeVms(tables, ['vm-00-00'], { condition: 'unreachable' });
    expect(plan(tables)).toEqual(['stop-wave']);
  });

  // Guards against faults that show after the step: VMs come back from their reboot, their steps
  // count as done, and minutes later one VM after another hangs. No step fails, so only the losses
  // show that the wave is the cause.
  it('stops when maintained VMs are lost afterwards, once the loss has lasted', () => {
    const tables = makePool(8);
    startWave(tables);
    putSteps(tables, [...RACK_0, 'vm-01-00', 'vm-01-01'], 'maintained');
    changeVms(tables, ['vm-00-00', 'vm-01-00'], { condition: 'absent' });
    expect(plan(tables, 1_000)).not.toContain('stop-wave');
    expect(plan(tables, 17_000)).toEqual(['stop-wave']);
  });

  // Guards against needless stops: the platform's list lags and drops a maintained VM for a moment,
  // or a whole rack with maintained and other VMs fails. The wave causes neither, and a stop would
  // leave the roll-out unfinished by morning.
  it('does not blame the wave for a lagging list or for a failed rack', () => {
    const tables = makePool(8);
    startWave(tables);
    putSteps(tables, RACK_5.slice(0, 3), 'maintained');
    putSteps(tables, RACK_0, 'maintained');
    changeVms(tables, RACK_0.slice(0, 2), { condition: 'absent' });
    expect(plan(tables, 1_000)).not.toContain('stop-wave');
    changeVms(tables, RACK_0.slice(0, 2), { condition: 'accepting' });
    expect(plan(tables, 9_000)).not.toContain('stop-wave');
    changeVms(tables, RACK_5, { condition: 'unreachable' });
    expect(plan(tables, 10_000)).not.toContain('stop-wave');
    expect(plan(tables, 60_000)).not.toContain('stop-wave');
  });

  // Guards against needless stops: a rack fails in which all VMs of the pool were just maintained.
  // To this pool it looks as if the maintenance broke them; lost VMs of other pools in the rack
  // show that it did not.
  it('does not blame the wave for a rack in which other pools lost VMs as well', () => {
    const tables = makePool(8);
    startWave(tables);
    putSteps(tables, RACK_0, 'maintained');
    changeVms(tables, RACK_0, { condition: 'absent' });
    plan(tables, 1_000);
    const options = { nowMs: 60_000, minuteOfDay: 0, failedRacks: new Set(['dc-0/rack-00']) };
    const types = planWaveSteps(tables, options).map(({ type }) => type);
    expect(types).not.toContain('stop-wave');
    expect(plan(tables, 60_000)).toEqual(['stop-wave']);
  });

  it('accepts the failures that an operator resumed the wave with', () => {
    const tables = makePool(8);
    startWave(tables, 'paused');
    putSteps(tables, ['vm-00-00'], 'failed');
    expect(plan(tables)).toEqual([]);
    startWave(tables);
    expect(plan(tables)).toEqual(['start vm-00-01']);
  });

  it('starts nothing outside the window, which may span midnight', () => {
    const maintenance = { windowStartMinuteOfDay: 1_380, windowEndMinuteOfDay: 300 };
    const tables = makePool(6, makeSettings({ maintenance }));
    startWave(tables);
    const at = (minuteOfDay: number): string => plan(tables, 0, minuteOfDay)[0]!.split(' ')[0]!;
    expect([1_379, 1_380, 0, 299, 300].map(at)).toEqual([
      'wait',
      'start',
      'start',
      'start',
      'wait',
    ]);
  });

  it('lets one pool of a wave begin alone, and passes the turn on with the minute', () => {
    const tables = makePool(6);
    startWave(tables);
    tables.waves.put({ ...tables.waves.getOrThrow('wave-1'), pools: ['a/b', POOL] });
    const typeAt = (minuteOfDay: number): string | undefined =>
      planWaveSteps(tables, { nowMs: 0, minuteOfDay, fleetProgress: new Map() })[0]?.type;
    expect([typeAt(0), typeAt(1)]).toEqual(['wait', 'start-step']);
  });
});
