import { FleetModel } from '../model/FleetModel.js';
import type { FleetOutcome } from '../model/FleetOutcome.js';
import { makeBatches, makeOurs } from '../policies/fleetPolicies.js';
import type { FleetPolicy } from '../policies/FleetPolicy.js';
import type { BenchColumn, BenchRow, BenchTable } from '../report/BenchTable.js';
import type { BenchSubject } from '../report/BenchSubject.js';
import { generateWaveTrace, type Trace, type WaveNight } from '../traces/index.js';
import { sum } from './statistics.js';

const TICK_MS = 1_000;
const MINUTE_MS = 60_000;

const POLICIES: readonly FleetPolicy[] = [
  makeOurs(1),
  makeOurs(0.5),
  makeOurs(0),
  makeBatches('one at a time', () => 1),
  makeBatches('batches of 10 %', (vmCount) => Math.max(1, Math.floor(vmCount * 0.1))),
  makeBatches('batches of 25 %', (vmCount) => Math.max(1, Math.floor(vmCount * 0.25))),
];

/**
 * Least roll-out time: all step times over the VMs that may be out at once. Each VM out needs a
 * spare in its place, and a pool may not have more out than its declared fraction.
 */
function rollOutBoundMs(trace: Trace): number {
  const { vms, pools } = trace.head;
  const stepMs = new Map(
    trace.events.flatMap((event) =>
      event.type === 'step' ? [[event.vm, event.drainMs + event.rebootMs] as const] : [],
    ),
  );
  const times = (pool: string): readonly number[] =>
    vms.filter((vm) => vm.pool === pool).map(({ vm }) => stepMs.get(vm)!);
  const spareCount = vms.filter((vm) => vm.pool === undefined).length;
  const fleetMs = sum(pools.flatMap(({ pool }) => times(pool))) / spareCount;
  const poolMs = pools.map(({ pool, settings }) => {
    const own = times(pool);
    const { maxUnavailableFraction } = settings.availability;
    const outCount = Math.floor(maxUnavailableFraction * (own.length + spareCount));
    return sum(own) / outCount;
  });
  return Math.max(fleetMs, ...poolMs);
}

/**
 * Computes the figures of one wave run.
 * @param outcome - What happened.
 * @returns Figures by column.
 */
export function waveFigures(outcome: FleetOutcome): Readonly<Record<string, number>> {
  return {
    rollOutMinutes: (outcome.rollOutMs ?? NaN) / MINUTE_MS,
    overBudgetSteps: outcome.overBudgetStepCount,
    belowNeededMinutes: outcome.belowNeededMs / MINUTE_MS,
    borrowedVms: outcome.peakHeldVmCount,
    moves: outcome.moveCount,
    steppedVms: outcome.steppedVmCount,
    brokenVms: outcome.brokenVmCount,
  };
}

/** Columns with their bounds. */
function columnsOf(trace: Trace, night: WaveNight): readonly BenchColumn[] {
  const assignedCount = trace.head.vms.filter((vm) => vm.pool !== undefined).length;
  const broken: BenchColumn = {
    key: 'brokenVms',
    label: 'broken',
    unit: 'VMs',
    better: 'lower',
    bound: 1,
  };
  const rollOut: BenchColumn = {
    key: 'rollOutMinutes',
    label: 'roll-out',
    unit: 'min',
    better: 'lower',
    bound: rollOutBoundMs(trace) / MINUTE_MS,
  };
  return [
    ...(night === 'bad-firmware' ? [] : [rollOut]),
    { key: 'overBudgetSteps', label: 'steps over budget', unit: '', better: 'lower', bound: 0 },
    { key: 'belowNeededMinutes', label: 'below needed', unit: 'min', better: 'lower', bound: 0 },
    {
      key: 'borrowedVms',
      label: 'held at peak',
      unit: 'VMs',
      better: 'lower',
      bound: assignedCount,
    },
    { key: 'moves', label: 'moves', unit: '', better: 'lower' },
    { key: 'steppedVms', label: 'stepped', unit: 'VMs', better: 'lower' },
    ...(night === 'bad-firmware' ? [broken] : []),
  ];
}

/**
 * Replays a night under one policy.
 * @param trace - The trace.
 * @param policy - The policy.
 * @returns What happened.
 */
export function replayWaves(trace: Trace, policy: FleetPolicy): FleetOutcome {
  return new FleetModel({ trace, policy, tickMs: TICK_MS }).run();
}

/** Measures one night. */
function measureNight(
  options: Parameters<BenchSubject>[0],
  night: WaveNight,
  title: string,
): BenchTable {
  const trace = generateWaveTrace(options.deployment, options.seed, night);
  const rows = POLICIES.map((policy): BenchRow => {
    const outcome = replayWaves(trace, policy);
    return {
      policy: policy.name,
      figures: waveFigures(outcome),
      brokenPromiseCount: outcome.brokenPromises.length,
      brokenPromises: outcome.brokenPromises,
    };
  });
  return { ...options, subject: 'waves', title, columns: columnsOf(trace, night), rows };
}

/**
 * Measures waves: ours at three weights beside one at a time and fixed batches.
 * @param options - Deployment and seed.
 * @returns Tables for a quiet night, one with a lost rack, and one in which maintenance breaks VMs.
 */
export const measureWaves: BenchSubject = (options) => [
  measureNight(options, 'quiet', 'one wave over all pools, stray losses'),
  measureNight(options, 'lost-rack', 'one wave over all pools, a rack lost for 20 minutes'),
  measureNight(options, 'bad-firmware', 'one wave whose maintenance breaks most VMs'),
];
