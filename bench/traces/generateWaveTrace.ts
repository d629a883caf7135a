import {
  type Deployment,
  getDeployment,
  listPoolNames,
  listVms,
  makePoolSettings,
} from './deployments.js';
import { Draws } from './Draws.js';
import type { DeploymentName, Trace, TraceEvent, TraceVm } from './Trace.js';

const END_MS = 12 * 3_600_000;
const MEDIAN_DRAIN_MS = 45_000;
const MEDIAN_REBOOT_MS = 150_000;
const STEP_SPREAD = 0.4;
/** Stray failures of single VMs during the night. */
const STRAY_LOSS_COUNT = 3;
const STRAY_LOSS_MS = 600_000;
/** When a rack loses power in the middle of the wave, and for how long. */
const RACK_LOSS_AT_MS = 900_000;
const RACK_LOSS_MS = 1_200_000;
/** Share of the VMs that bad firmware breaks, in the trace with correlated failures. */
const BAD_FIRMWARE_SHARE = 0.6;

/** Which night the trace is about. */
export type WaveNight = 'quiet' | 'lost-rack' | 'bad-firmware';

/** Spreads VMs over the pools in turn and leaves a few as spares. */
function assign(deployment: Deployment, vms: readonly TraceVm[]): readonly TraceVm[] {
  const pools = listPoolNames(deployment);
  const spareCount = Math.round(vms.length * deployment.spareFraction);
  return vms.map((vm, index) => {
    const isSpare = index % Math.floor(vms.length / spareCount) === 0;
    return isSpare ? vm : { ...vm, pool: pools[index % pools.length]! };
  });
}

/** Slots that a pool promises: what is left of it after the loss of its largest rack. */
function neededSlotCount(vms: readonly TraceVm[]): number {
  const racks = new Map<string, number>();
  vms.forEach((vm) => racks.set(vm.rack, (racks.get(vm.rack) ?? 0) + vm.slotCount));
  const total = vms.reduce((sum, vm) => sum + vm.slotCount, 0);
  return total - Math.max(...racks.values());
}

/** Draws what maintenance of each VM will take. */
function drawSteps(draws: Draws, vms: readonly TraceVm[], night: WaveNight): readonly TraceEvent[] {
  return vms.map(({ vm }) => {
    const breaks = night === 'bad-firmware' && draws.chance(BAD_FIRMWARE_SHARE);
    return {
      type: 'step',
      atMs: 0,
      vm,
      drainMs: draws.logNormal(MEDIAN_DRAIN_MS, STEP_SPREAD),
      rebootMs: draws.logNormal(MEDIAN_REBOOT_MS, STEP_SPREAD),
      result: 'maintained',
      ...(breaks ? { lostAfterMs: draws.integer(30_000, 180_000) } : {}),
    };
  });
}

/** Draws a loss of VMs and their return. */
function lossOf(vms: readonly string[], atMs: number, lengthMs: number): readonly TraceEvent[] {
  return vms.flatMap((vm): readonly TraceEvent[] => [
    { type: 'vm-lost', atMs, vm },
    { type: 'vm-back', atMs: atMs + lengthMs, vm },
  ]);
}

/**
 * Makes a night in which one wave maintains every pool of a deployment.
 * @param name - Which deployment.
 * @param seed - Seed of every draw.
 * @param night - A quiet night with stray losses only, one in which a rack is lost for a while, or
 * one in which the maintenance breaks VMs minutes after their return.
 * @returns The trace.
 */
export function generateWaveTrace(name: DeploymentName, seed: number, night: WaveNight): Trace {
  const deployment = getDeployment(name);
  const draws = new Draws(seed);
  const vms = assign(deployment, listVms(deployment));
  const pools = listPoolNames(deployment);
  const { rack } = draws.pick(vms);
  const rackVms = vms.filter((vm) => vm.rack === rack).map(({ vm }) => vm);
  const strayLosses = Array.from({ length: STRAY_LOSS_COUNT }, () => draws.pick(vms).vm);
  const losses = strayLosses.flatMap((vm) =>
    lossOf([vm], draws.integer(0, 2 * 3_600_000), STRAY_LOSS_MS),
  );
  const events: readonly TraceEvent[] = [
    ...drawSteps(draws, vms, night),
    { type: 'wave', atMs: 1_000, wave: 'wave-1', pools },
    ...losses,
    ...(night === 'lost-rack' ? lossOf(rackVms, RACK_LOSS_AT_MS, RACK_LOSS_MS) : []),
  ];
  return {
    head: {
      type: 'trace',
      subject: 'waves',
      deployment: name,
      seed,
      endMs: END_MS,
      pools: pools.map((pool) => {
        const needed = neededSlotCount(vms.filter((vm) => vm.pool === pool));
        return { pool, settings: makePoolSettings(deployment, needed) };
      }),
      vms,
    },
    events: [...events].sort((left, right) => left.atMs - right.atMs),
  };
}
