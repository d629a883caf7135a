import { beforeEach, describe, expect, it } from 'vitest';
import { LifetimeEndDetector } from '../../src/fleetHome/LifetimeEndDetector.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { SystemClock } from '../../src/utils/index.js';
import type { FleetVm } from '../../src/vms/index.js';

const NAMES = ['v1', 'v2', 'v3', 'v4'];

function makeVm(vm: string, changes: Partial<FleetVm> = {}): FleetVm {
  return { vm, pool: 'pages', state: 'up', targetId: `t-${vm}`, rack: 'r1', ...changes };
}

describe('LifetimeEndDetector', () => {
  let orderedVms: Set<string>;
  let detector: LifetimeEndDetector;

  beforeEach(() => {
    orderedVms = new Set();
    const hasActiveOrder = (vm: string): boolean => orderedVms.has(vm);
    detector = new LifetimeEndDetector({
      clock: new SystemClock(),
      events: new MemoryEventLog(),
      hasActiveOrder,
    });
    detector.compare(NAMES.map((vm) => makeVm(vm)));
  });

  it('reports a VM as crashed that goes down or comes back in another lifetime', () => {
    const down = makeVm('v1', { state: 'down', targetId: undefined });
    detector.compare([down, makeVm('v2', { targetId: 't-new' })]);
    expect(detector.list('pages')).toEqual({
      endedTargets: ['t-v1', 't-v2'],
      crashedTargets: ['t-v1', 't-v2'],
      lostWithRack: [],
    });
  });

  // Guards against giving up tasks whose targets ended because of moves and maintenance.
  it('reports a VM as ended and not as crashed after a move or maintenance', () => {
    orderedVms.add('v4');
    detector.compare([
      makeVm('v1', { state: 'moving', pool: 'archive', targetId: undefined }),
      makeVm('v2', { state: 'in-maintenance', targetId: undefined }),
      makeVm('v3', { pool: 'archive', targetId: 't-new' }),
      makeVm('v4', { targetId: 't-back' }),
    ]);
    expect(detector.list('pages')).toEqual({
      endedTargets: ['t-v1', 't-v2', 't-v3', 't-v4'],
      crashedTargets: [],
      lostWithRack: [],
    });
  });

  // Guards against giving up tasks whose targets crashed with the loss of a rack or of power.
  it.each([
    ['several VMs of a rack', ['v1', 'v2', 'v3'], 3],
    ['the last VMs of a rack', ['v1', 'v2', 'v3', 'v4'], 4],
    ['one VM of a rack with others up', ['v1'], 0],
  ])('classifies the simultaneous loss of %s', (_what, lost, withRackCount) => {
    const down: Partial<FleetVm> = { state: 'down', targetId: undefined };
    detector.compare(NAMES.map((vm) => makeVm(vm, lost.includes(vm) ? down : {})));
    expect(detector.list('pages').crashedTargets).toHaveLength(lost.length);
    expect(detector.list('pages').lostWithRack).toHaveLength(withRackCount);
  });

  // Guards against tasks that count as running on a target whose VM was listed in its next pool
  // before its lifetime ended.
  it('lists an ended lifetime for each pool in which it was listed, and for no other', () => {
    detector.compare([makeVm('v1', { state: 'moving', pool: 'archive' })]);
    detector.compare([makeVm('v1', { state: 'moving', pool: 'archive' })]);
    detector.compare([makeVm('v1', { state: 'moving', pool: 'search', targetId: undefined })]);
    detector.compare([makeVm('v1', { pool: 'search', targetId: 't-new' })]);
    const listedIn = ['pages', 'archive', 'search', 'previews'].filter((pool) =>
      detector.list(pool).endedTargets.includes('t-v1'),
    );
    expect(listedIn).toEqual(['pages', 'archive', 'search']);
  });
});
