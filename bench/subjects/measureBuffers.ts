import { FleetModel } from '../model/FleetModel.js';
import type { FleetOutcome } from '../model/FleetOutcome.js';
import { makeOurs, MOVE_AT_ONCE } from '../policies/fleetPolicies.js';
import type { FleetPolicy } from '../policies/FleetPolicy.js';
import type { BenchColumn, BenchRow, BenchTable } from '../report/BenchTable.js';
import type { BenchSubject } from '../report/BenchSubject.js';
import { generateBufferTrace, type Trace, type TraceEvent } from '../traces/index.js';
import { sum } from './statistics.js';

const TICK_MS = 5_000;
const HOUR_MS = 3_600_000;

/** Demand events of a trace. */
type Needed = Extract<TraceEvent, { type: 'needed' }>;

/** Fewest adoptions that meet the demand: what the pools need at their peak and hold already. */
function fewestMoves(trace: Trace): number {
  const needed = trace.events.filter((event): event is Needed => event.type === 'needed');
  const slotsPerVm = trace.head.vms[0]!.slotCount;
  const racks = new Set(trace.head.vms.map(({ rack }) => rack)).size;
  const fewest = trace.head.pools.map(({ pool }) => {
    const peak = Math.max(
      ...needed.filter((event) => event.pool === pool).map(({ slotCount }) => slotCount),
    );
    const vmCount = Math.ceil(peak / slotsPerVm);
    return vmCount + Math.ceil(vmCount / (racks - 1));
  });
  return sum(fewest);
}

/** Buffer cost: VM time held beyond what is needed, over what is needed. */
function bufferCost(heldVmHours: number, neededVmHours: number): number {
  return (heldVmHours - neededVmHours) / neededVmHours;
}

/**
 * Computes the figures of one day.
 * @param outcome - What happened.
 * @returns Figures by column.
 */
export function bufferFigures(outcome: FleetOutcome): Readonly<Record<string, number>> {
  return {
    bufferCost: bufferCost(outcome.heldVmHours, outcome.neededVmHours),
    fleetVms: outcome.peakHeldVmCount,
    moves: outcome.moveCount,
    belowNeededMinutes: outcome.belowNeededMs / 60_000,
    outsideBudgetMinutes: outcome.outsideBudgetMs / 60_000,
  };
}

/** Row of a run. */
function rowOf(policy: FleetPolicy, outcome: FleetOutcome): BenchRow {
  return {
    policy: policy.name,
    figures: bufferFigures(outcome),
    brokenPromiseCount: outcome.brokenPromises.length,
    brokenPromises: outcome.brokenPromises,
  };
}

/** Row of a fleet in which each pool holds what it needs at its peak all day. */
function staticRow(outcome: FleetOutcome, endMs: number): BenchRow {
  const vmCount = outcome.sumOfPeaksVmCount;
  return {
    policy: 'static spares per pool',
    figures: {
      bufferCost: bufferCost((vmCount * endMs) / HOUR_MS, outcome.neededVmHours),
      fleetVms: vmCount,
      moves: 0,
      belowNeededMinutes: 0,
      outsideBudgetMinutes: NaN,
    },
    brokenPromiseCount: 0,
    brokenPromises: [],
  };
}

/**
 * Replays a day under one policy.
 * @param trace - The trace.
 * @param policy - The policy.
 * @returns What happened.
 */
export function replayBuffers(trace: Trace, policy: FleetPolicy): FleetOutcome {
  return new FleetModel({ trace, policy, tickMs: TICK_MS }).run();
}

/**
 * Measures buffers and moves: ours beside moves at once and a static spare in each pool.
 * @param options - Deployment and seed.
 * @returns One table.
 */
export const measureBuffers: BenchSubject = ({ deployment, seed }) => {
  const trace = generateBufferTrace(deployment, seed);
  const ours = makeOurs();
  const outcome = replayBuffers(trace, ours);
  const columns: readonly BenchColumn[] = [
    {
      key: 'bufferCost',
      label: 'buffer cost',
      unit: '',
      better: 'lower',
      bound: bufferCost(outcome.boundVmHours, outcome.neededVmHours),
    },
    { key: 'fleetVms', label: 'fleet at peak', unit: 'VMs', better: 'lower' },
    { key: 'moves', label: 'moves', unit: '', better: 'lower', bound: fewestMoves(trace) },
    { key: 'belowNeededMinutes', label: 'below needed', unit: 'min', better: 'lower', bound: 0 },
    { key: 'outsideBudgetMinutes', label: 'outside budget', unit: 'min', better: 'lower' },
  ];
  const table: BenchTable = {
    subject: 'buffers',
    deployment,
    seed,
    title: 'a day of demand that moves between pools, one that swings, and VM losses',
    columns,
    rows: [
      rowOf(ours, outcome),
      rowOf(MOVE_AT_ONCE, replayBuffers(trace, MOVE_AT_ONCE)),
      staticRow(outcome, trace.head.endMs),
    ],
  };
  return [table];
};
