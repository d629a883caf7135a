import { describe, expect, it } from 'vitest';
import { VmProber } from '../../src/home/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { VmRow } from '../../src/tables/index.js';
import type { TargetStatus } from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';

const VM = { vm: 'vm-1', host: '127.0.0.1', port: 1 } as VmRow;
const STATUS: TargetStatus = {
  bootId: 'b',
  draining: false,
  runningTaskIds: [],
  usedCoreCount: 0,
  usedMemoryMb: 0,
};

/** Probes a VM once per status, one second apart. */
async function probe(statuses: readonly (TargetStatus | undefined)[]) {
  const clock = new ManualClock();
  const drained: string[] = [];
  let probeCount = 0;
  const getStatus = async () => {
    probeCount += 1;
    return statuses[probeCount - 1];
  };
  const prober = new VmProber({
    targets: { getStatus },
    clock,
    events: new MemoryEventLog(),
    probeEveryMs: 1_000,
    onDraining: (vm) => drained.push(vm),
  });
  prober.suspect(VM);
  const settle = () =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  await statuses.reduce(async (former) => {
    await former;
    await settle();
    clock.advance(1_000);
    prober.tick();
  }, Promise.resolve());
  await settle();
  return { isUnreachable: prober.isUnreachable('vm-1'), drained, probeCount };
}

describe('VmProber', () => {
  describe('suspect', () => {
    // Guards against taking work from a healthy VM: its connection goes silent because something
    // in between has lost track of it, but the VM answers a probe on a new connection.
    it('keeps a VM reachable that answers its probe', async () => {
      expect(await probe([STATUS])).toMatchObject({ isUnreachable: false, probeCount: 1 });
    });

    it('keeps a VM unreachable until it answers again', async () => {
      expect(await probe([undefined, undefined])).toMatchObject({ isUnreachable: true });
      expect(await probe([undefined, STATUS])).toMatchObject({ isUnreachable: false });
    });

    // Guards against a VM that stays drained: an operator cancels a drain while the pool changes
    // homes, and the new home never tells the platform. The VM would refuse every task forever
    // although the pool counts its slots.
    it('reports a VM that answers a probe but is draining', async () => {
      expect((await probe([{ ...STATUS, draining: true }])).drained).toEqual(['vm-1']);
    });
  });
});
