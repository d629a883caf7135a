import {
  IdleWindow,
  planMoves,
  type PlanMovesInput,
  type PoolDemand,
  summarizePools,
  type TargetLoad,
} from '../../../src/systems/index.js';
import { ManualClock } from '../../../src/utils/index.js';
import type { FleetVm } from '../../../src/vms/index.js';

const VM_MILLICORES = 32_000;
/** Time between two passes, in milliseconds. */
export const PASS_MS = 500;
const MOVE_MS = 1_500;
/** Each job takes one VM for this time, in milliseconds. */
export const RUN_MS = 1_000;
/** Time for which a job may wait by its objective, in milliseconds. */
export const MAX_WAIT_MS = 2_500;
const OWN_COUNT = 2;
const STANDBY_POOL = 'off';

/** A load peak of a pool. */
export interface LoadPeak {
  readonly pool: string;
  readonly priority: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Jobs that arrive in the passes of the peak, over and over. */
  readonly jobCounts: readonly number[];
}

/** When idle VMs are switched off. */
export type IdlePolicy = 'never' | 'at-once' | 'after-window';

/** Options of {@link PeaksWorld}. */
export interface PeaksWorldOptions {
  readonly peaks: readonly LoadPeak[];
  readonly standbyCount: number;
  readonly sharesShortages: boolean;
  readonly idlePolicy: IdlePolicy;
}

interface Vm {
  readonly vm: string;
  readonly pool: string;
  readonly upAtMs: number;
  readonly busyUntilMs: number;
}

function describeLoad({ vm, busyUntilMs }: Vm, nowMs: number): TargetLoad {
  const runCount = busyUntilMs > nowMs ? 1 : 0;
  return {
    targetId: vm,
    runCount,
    longRunningCount: 0,
    usedCpuMillicores: runCount * VM_MILLICORES,
    cpuMillicores: VM_MILLICORES,
  };
}

/**
 * Counts the jobs that arrive in a pass.
 * @param peak - The peak.
 * @param nowMs - Time of the pass in milliseconds.
 * @returns Number of jobs.
 */
export function countArrivals({ fromMs, toMs, jobCounts }: LoadPeak, nowMs: number): number {
  if (nowMs < fromMs || nowMs >= toMs) return 0;
  return jobCounts[((nowMs - fromMs) / PASS_MS) % jobCounts.length]!;
}

/** Pools whose jobs take a VM each; their VMs move by the plan. */
export class PeaksWorld {
  moveCount = 0;

  /** Seconds in which VMs were on or moving. */
  vmSeconds = 0;

  /** Jobs that began in time, by pool. */
  readonly inTime = new Map<string, number>();

  private readonly options: PeaksWorldOptions;

  private readonly pools: readonly string[];

  private readonly clock = new ManualClock(0);

  private readonly idleWindow = new IdleWindow(this.clock);

  /** Times at which the waiting jobs of a pool arrived, in milliseconds. */
  private readonly waiting = new Map<string, readonly number[]>();

  private vms: readonly Vm[];

  constructor(options: PeaksWorldOptions) {
    this.options = options;
    this.pools = [...new Set(options.peaks.map(({ pool }) => pool))];
    const makeVms = (pool: string, count: number): readonly Vm[] =>
      Array.from({ length: count }, (_none, index) => ({
        vm: `${pool}-${index}`,
        pool,
        upAtMs: 0,
        busyUntilMs: 0,
      }));
    this.vms = [
      ...this.pools.flatMap((pool) => makeVms(pool, OWN_COUNT)),
      ...makeVms(STANDBY_POOL, options.standbyCount),
    ];
  }

  /** Lets jobs arrive and run, and VMs move, for one pass. */
  pass(nowMs: number): void {
    this.clock.advance(PASS_MS);
    this.pools.forEach((pool) => this.run(pool, nowMs));
    const input = this.describe(nowMs);
    const moves = planMoves({ ...input, idleCounts: this.getIdleCounts(input) });
    moves.forEach(({ vm, toPool }) => {
      const { busyUntilMs } = this.vms.find((known) => known.vm === vm)!;
      this.change(vm, { pool: toPool, upAtMs: Math.max(nowMs, busyUntilMs) + MOVE_MS });
    });
    moves
      .filter(({ reason }) => reason === 'idle')
      .forEach(({ fromPool }) => this.idleWindow.noteMoved(fromPool, 1));
    this.moveCount += moves.length;
    const isPaid = ({ pool, upAtMs }: Vm): boolean => pool !== STANDBY_POOL || upAtMs > nowMs;
    this.vmSeconds += (this.vms.filter(isPaid).length * PASS_MS) / 1_000;
  }

  private getIdleCounts(input: PlanMovesInput): ReadonlyMap<string, number> | undefined {
    const counts = new Map(summarizePools(input).map(({ pool, idleCount }) => [pool, idleCount]));
    this.idleWindow.record(counts);
    switch (this.options.idlePolicy) {
      case 'never':
        return undefined;
      case 'at-once':
        return counts;
      default:
        return this.idleWindow.getLeastCounts();
    }
  }

  private change(name: string, changes: Partial<Vm>): void {
    this.vms = this.vms.map((vm) => (vm.vm === name ? { ...vm, ...changes } : vm));
  }

  private run(pool: string, nowMs: number): void {
    const arrived = this.options.peaks
      .filter((peak) => peak.pool === pool)
      .flatMap((peak) => Array.from({ length: countArrivals(peak, nowMs) }, () => nowMs));
    const queue = [...(this.waiting.get(pool) ?? []), ...arrived].filter(
      (atMs) => nowMs - atMs <= MAX_WAIT_MS,
    );
    const free = this.vms
      .filter((vm) => vm.pool === pool && vm.upAtMs <= nowMs && vm.busyUntilMs <= nowMs)
      .slice(0, queue.length);
    free.forEach(({ vm }) => this.change(vm, { busyUntilMs: nowMs + RUN_MS }));
    this.inTime.set(pool, (this.inTime.get(pool) ?? 0) + free.length);
    this.waiting.set(pool, queue.slice(free.length));
  }

  private describe(nowMs: number): PlanMovesInput {
    const up = this.vms.filter(({ upAtMs }) => upAtMs <= nowMs);
    const moving = this.vms.filter(({ upAtMs }) => upAtMs > nowMs);
    return {
      demands: this.pools.map((pool) => this.describeDemand(pool, up, nowMs)),
      vms: up.map(({ vm, pool }): FleetVm => ({
        vm,
        pool,
        state: 'up',
        targetId: pool === STANDBY_POOL ? undefined : vm,
      })),
      standbyPools: new Set([STANDBY_POOL]),
      heldVms: new Set(),
      arrivingByPool: new Map(
        this.pools.map((pool) => [pool, moving.filter((vm) => vm.pool === pool).length]),
      ),
      reserveCounts: new Map(this.pools.map((pool) => [pool, OWN_COUNT])),
      sharesShortages: this.options.sharesShortages,
    };
  }

  private describeDemand(pool: string, up: readonly Vm[], nowMs: number): PoolDemand {
    const targets = up.filter((vm) => vm.pool === pool).map((vm) => describeLoad(vm, nowMs));
    const used = targets.reduce((sum, { usedCpuMillicores }) => sum + usedCpuMillicores, 0);
    const cpuMillicores = this.waiting.get(pool)!.length * VM_MILLICORES;
    const { priority } = this.options.peaks.find((peak) => peak.pool === pool)!;
    return {
      pool,
      targets,
      waitingCpuMillicores: cpuMillicores,
      waitingByPriority: [{ priority, cpuMillicores }],
      neededCpuMillicores: used + cpuMillicores,
      lateCpuMillicores: 0,
      wholeVmCount: 0,
      jobCount: 1,
    };
  }
}

/**
 * Plays a day.
 * @param options - Its peaks and the ways to decide.
 * @param dayMs - Its length in milliseconds.
 * @returns The world at its end.
 */
export function playPeaks(options: PeaksWorldOptions, dayMs: number): PeaksWorld {
  const world = new PeaksWorld(options);
  Array.from({ length: dayMs / PASS_MS }).forEach((_none, index) => world.pass(index * PASS_MS));
  return world;
}
