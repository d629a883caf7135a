import { getDeployment, listPoolNames, listVms, makePoolSettings } from './deployments.js';
import { Draws } from './Draws.js';
import type { DeploymentName, Trace, TraceEvent } from './Trace.js';

const HOUR_MS = 3_600_000;
const END_MS = 24 * HOUR_MS;
/** Slots of a pool in its quiet hours and in its busy ones. */
const QUIET_SLOT_COUNT = 20;
const BUSY_SLOT_COUNT = 36;
const BUSY_HOUR_COUNT = 8;
/** Hours between the busy times of one pool and the next. */
const BUSY_OFFSET_HOURS = 5;
/** A pool whose demand goes up and down every few minutes, and for how long. */
const SWING_SPAN_MS = { from: 10 * HOUR_MS, to: 12 * HOUR_MS } as const;
const SWING_MS = 240_000;
/** VM failures of the day: some ten times the rate that the larger target states. */
const LOSS_COUNT = 14;

/** Demand of one pool over the day. */
function drawDemand(draws: Draws, pool: string, index: number): readonly TraceEvent[] {
  const busyFromHour = (6 + index * BUSY_OFFSET_HOURS) % 24;
  return Array.from({ length: 24 }, (ignored, hour): TraceEvent => {
    const isBusy = (hour - busyFromHour + 24) % 24 < BUSY_HOUR_COUNT;
    const slotCount = (isBusy ? BUSY_SLOT_COUNT : QUIET_SLOT_COUNT) + draws.integer(-2, 2);
    return { type: 'needed', atMs: hour * HOUR_MS, pool, slotCount };
  });
}

/** Demand that swings by a VM's slots every few minutes. */
function drawSwings(pool: string): readonly TraceEvent[] {
  const { from, to } = SWING_SPAN_MS;
  return Array.from({ length: (to - from) / SWING_MS }, (ignored, swing): TraceEvent => ({
    type: 'needed',
    atMs: from + swing * SWING_MS + 1,
    pool,
    slotCount: swing % 2 === 0 ? QUIET_SLOT_COUNT + 8 : QUIET_SLOT_COUNT,
  }));
}

/**
 * Makes a day of demand that moves from pool to pool, with VM failures and one pool that swings.
 * @param name - Which deployment.
 * @param seed - Seed of every draw.
 * @returns The trace.
 */
export function generateBufferTrace(name: DeploymentName, seed: number): Trace {
  const deployment = getDeployment(name);
  const draws = new Draws(seed);
  const vms = listVms(deployment);
  const pools = listPoolNames(deployment);
  const losses = Array.from({ length: LOSS_COUNT }, () => {
    const { vm } = draws.pick(vms);
    const atMs = draws.integer(HOUR_MS, END_MS - HOUR_MS);
    const lost: TraceEvent = { type: 'vm-lost', atMs, vm };
    const lengthMs = draws.logNormal(120_000, 1.5);
    const back: TraceEvent = { type: 'vm-back', atMs: atMs + lengthMs, vm };
    return [lost, back];
  });
  const events: readonly TraceEvent[] = [
    ...pools.flatMap((pool, index) => drawDemand(draws, pool, index)),
    ...drawSwings(pools[0]!),
    ...losses.flat(),
  ];
  return {
    head: {
      type: 'trace',
      subject: 'buffers',
      deployment: name,
      seed,
      endMs: END_MS,
      pools: pools.map((pool) => ({
        pool,
        settings: makePoolSettings(deployment, QUIET_SLOT_COUNT),
      })),
      vms,
    },
    events: [...events].sort((left, right) => left.atMs - right.atMs),
  };
}
