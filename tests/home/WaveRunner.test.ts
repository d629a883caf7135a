import { describe, expect, it } from 'vitest';
import { WaveRunner } from '../../src/home/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { RecordBody } from '../../src/records/index.js';
import { poolSchema } from '../../src/settings/index.js';
import { FleetTables, PoolTables, type VmRow } from '../../src/tables/index.js';
import type { TargetStatus } from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';

const REBOOT_TIMEOUT_MS = 10_000;
const SETTINGS = poolSchema.parse({
  neededSlotCount: 1,
  availability: { failureDomain: 'vm', maxUnavailableFraction: 0.5 },
  jobKinds: {},
  maintenance: { rebootTimeoutMs: REBOOT_TIMEOUT_MS },
});
const VM: VmRow = {
  vm: 'vm-1',
  worker: 'w',
  rack: 'r',
  dataCentre: 'd',
  host: '127.0.0.1',
  port: 1,
  coreCount: 1,
  memoryMb: 1,
  acceleratorCount: 0,
  slotCount: 1,
  state: 'live',
  bootId: 'boot-1',
};
const IDLE: TargetStatus = {
  bootId: 'boot-1',
  draining: true,
  runningTaskIds: [],
  usedCoreCount: 0,
  usedMemoryMb: 0,
};

/** Creates a runner for a new home of a pool with one unfinished step, and records its calls. */
function takeOver(getStatus: () => TargetStatus | undefined) {
  const clock = new ManualClock();
  const tables = new PoolTables('team/pool', SETTINGS);
  const step = { wave: 'wave-1', pool: 'team/pool', vm: 'vm-1', term: 1, bootId: 'boot-1' };
  tables.waveSteps.put({ ...step, state: 'intended' });
  const calls: string[] = [];
  const written: RecordBody[] = [];
  const world = { holdsLease: true };
  const note = (call: string) => async () => {
    calls.push(call);
  };
  const runner = new WaveRunner({
    instance: 'a',
    term: 2,
    tables,
    fleet: new FleetTables(),
    writer: {
      write: async (body) => {
        written.push(body);
        return { type: 'accepted', offset: 1 };
      },
    },
    vmPort: { drain: note('drain'), undrain: note('undrain'), reboot: note('reboot') },
    targets: { getStatus: async () => getStatus(), control: async () => true },
    clock,
    events: new MemoryEventLog(),
    metrics: new MemoryMetrics(),
    holdsLease: () => world.holdsLease,
    getVm: () => VM,
  });
  const tick = async () => {
    runner.tick();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  return { runner, clock, calls, written, world, tables, tick };
}

describe('WaveRunner', () => {
  describe('tick', () => {
    it('reboots a VM that is drained and idle', async () => {
      const { calls, tick } = takeOver(() => IDLE);
      await tick();
      expect(calls).toEqual(['drain', 'reboot']);
    });

    // Guards against a reboot that aborts a request: a task runs on the VM, the VM still accepts
    // tasks, or (in the test after this one) a grant for it is in use.
    it.each([
      ['a task runs', { ...IDLE, runningTaskIds: ['t'] }],
      ['the target takes tasks', { ...IDLE, draining: false }],
    ])('does not reboot while %s', async (_story, status) => {
      const { calls, tick } = takeOver(() => status);
      await tick();
      expect(calls).toEqual(['drain']);
    });

    it('does not reboot while a grant for the VM is in use', async () => {
      const { calls, tables, tick } = takeOver(() => IDLE);
      tables.grants.put({
        grantId: 'g',
        requestId: 'r',
        entry: 'b',
        pool: 'team/pool',
        team: 'team',
        jobKind: 'k',
        urgency: 'normal',
        vm: 'vm-1',
        coreCount: 1,
        memoryMb: 1,
        grantedAtMs: 0,
        deadlineMs: 1,
      });
      await tick();
      expect(calls).toEqual(['drain']);
    });

    // Guards against a second reboot: the home is paused while it waits for the drain until its
    // lease has expired. It resumes with everything ready for the reboot, but its successor has
    // already rebooted the VM and placed new work on it.
    it('does not reboot after the lease is lost', async () => {
      const { calls, world, tick } = takeOver(() => {
        world.holdsLease = false;
        return IDLE;
      });
      await tick();
      expect(calls).toEqual(['drain']);
    });

    it('treats a VM with another boot id as rebooted, and undrains it', async () => {
      const { calls, written, tick } = takeOver(() => ({ ...IDLE, bootId: 'boot-2' }));
      await tick();
      await tick();
      expect(calls).toEqual(['undrain']);
      expect(written).toMatchObject([{ type: 'step-finished', result: 'maintained' }]);
    });

    // Guards against a wave that hangs: a home reboots a VM that never comes back, and the pool
    // changes homes before the step is recorded as failed. The next home waited for the drain of
    // the dead VM forever, and the wave neither continued nor stopped.
    it('fails the step of a VM that does not answer', async () => {
      const { written, clock, tick } = takeOver(() => undefined);
      await tick();
      expect(written).toEqual([]);
      clock.advance(REBOOT_TIMEOUT_MS);
      await tick();
      expect(written).toMatchObject([{ type: 'step-finished', result: 'failed' }]);
    });
  });
});
