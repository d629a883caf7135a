import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../src/utils/index.js';
import { TargetVm, type TaskOrder } from '../../standins/targets/index.js';

const ORDER: TaskOrder = {
  taskId: 'task-1',
  requestId: 'request-1',
  jobKind: 'archive',
  coreCount: 2,
  memoryMb: 400,
  leaseDeadlineMs: 1000,
  runMs: 500,
};

function makeVm(clock = new ManualClock()): TargetVm {
  const spec = {
    vm: 'vm-1',
    worker: 'worker-1',
    rack: 'rack-1',
    dataCentre: 'dc-a',
    coreCount: 4,
    memoryMb: 1000,
    acceleratorCount: 0,
    slotCount: 3,
  };
  return new TargetVm({ spec, clock, usageLagMs: 100, checkpoints: new Map() });
}

describe('findRefusal', () => {
  function doTest(order: Partial<TaskOrder>, expected: string | undefined): void {
    const vm = makeVm();
    const running = vm.startTask(ORDER);
    expect(vm.findRefusal({ ...ORDER, taskId: 'task-2', ...order })).toBe(expected);
    running.end('stopped');
  }

  it('takes what has room', () => doTest({}, undefined));
  it('refuses more cores than are left', () => doTest({ coreCount: 3 }, 'no cores'));
  it('refuses more memory than is left', () => doTest({ memoryMb: 601 }, 'no memory'));
  it('refuses a lapsed lease', () => doTest({ leaseDeadlineMs: 0 }, 'lease deadline past'));
  it('refuses a task id twice', () => doTest({ taskId: 'task-1' }, 'task id used before'));
});

describe('startTask', () => {
  it('ends a task that uses far more memory than it declared', async () => {
    const vm = makeVm();
    vm.faults = { ...vm.faults, memoryFactor: 3 };
    expect(await vm.startTask(ORDER).ended).toBe('out-of-memory');
  });

  it('goes on from the checkpoint of the same request', () => {
    const clock = new ManualClock();
    const vm = makeVm(clock);
    const first = vm.startTask(ORDER);
    clock.advance(200);
    vm.checkpoint(first);
    first.end('stopped');
    const second = vm.startTask({ ...ORDER, taskId: 'task-2' });
    expect(second.getRemainingMs()).toBe(300);
    second.end('stopped');
  });
});

describe('getStatus', () => {
  it('reports usage late', () => {
    const clock = new ManualClock();
    const vm = makeVm(clock);
    const running = vm.startTask(ORDER);
    expect(vm.getStatus().usedCoreCount).toBe(0);
    clock.advance(100);
    expect(vm.getStatus().usedCoreCount).toBe(2);
    running.end('stopped');
  });
});
