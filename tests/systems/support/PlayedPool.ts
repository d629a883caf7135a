import type { PoolDemand } from '../../../src/systems/index.js';

interface PlayedJob {
  readonly endsAtMs: number;
}

const VM_MILLICORES = 64_000;
/** A job takes 50 cores for 1.4 s; a peak has 55 of them a second, and calm has one in two. */
const JOB_MILLICORES = 50_000;
const JOB_MS = 1_400;
export const PEAK_JOBS_PER_S = 55;
export const CALM_JOBS_PER_S = 0.5;
const LONG_RUNNING_MILLICORES = 200_000;
/** VMs of a pool at first, and from 2.5 s after it has begun to lack some. */
const ALLOTTED_VM_COUNT = 50;
const CALM_VM_COUNT = 16;
const PEAK_VM_COUNT = 70;
const ADDED_AFTER_MS = 2_500;
/** Share of the passes in which the forecast of the need is far off. */
const FAR_OFF_SHARE = 0.05;

/** A pool whose jobs arrive at random, and whose VMs come after its load. */
export class PlayedPool {
  readonly pool: string;

  private readonly draw: () => number;

  private running: readonly PlayedJob[] = [];

  private waitingCount = 0;

  private shortSinceMs: number | undefined;

  constructor(pool: string, draw: () => number) {
    this.pool = pool;
    this.draw = draw;
  }

  play(jobsPerS: number, nowMs: number, tookMs: number): PoolDemand {
    const vmCount = this.getVmCount(nowMs);
    const arrivedCount = this.drawCount((jobsPerS * tookMs) / 1_000);
    this.waitingCount += arrivedCount;
    this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    const roomMillicores = vmCount * VM_MILLICORES - LONG_RUNNING_MILLICORES;
    const room = Math.floor(roomMillicores / JOB_MILLICORES) - this.running.length;
    const startedCount = Math.min(this.waitingCount, Math.max(0, room));
    const started = Array.from({ length: startedCount }, () => ({ endsAtMs: nowMs + JOB_MS }));
    this.running = [...this.running, ...started];
    this.waitingCount -= startedCount;
    this.shortSinceMs = this.waitingCount === 0 ? undefined : (this.shortSinceMs ?? nowMs);
    const usedCpuMillicores = LONG_RUNNING_MILLICORES + this.running.length * JOB_MILLICORES;
    const factor = this.draw() < FAR_OFF_SHARE ? 3 : 1;
    const arrivingMillicores = (arrivedCount * JOB_MILLICORES * JOB_MS) / tookMs;
    return {
      pool: this.pool,
      targets: Array.from({ length: vmCount }, (_, index) => ({
        targetId: `${this.pool}-${index}`,
        runCount: 0,
        longRunningCount: 0,
        usedCpuMillicores: usedCpuMillicores / vmCount,
        cpuMillicores: VM_MILLICORES,
      })),
      waitingCpuMillicores: this.waitingCount * JOB_MILLICORES,
      neededCpuMillicores: LONG_RUNNING_MILLICORES + arrivingMillicores * factor,
      lateCpuMillicores: 0,
      wholeVmCount: 0,
      jobCount: this.running.length + this.waitingCount,
    };
  }

  private getVmCount(nowMs: number): number {
    if (nowMs < 3_000) return ALLOTTED_VM_COUNT;
    const isServed = this.shortSinceMs !== undefined && nowMs - this.shortSinceMs > ADDED_AFTER_MS;
    return isServed || this.running.length > CALM_VM_COUNT ? PEAK_VM_COUNT : CALM_VM_COUNT;
  }

  /** Draws a number of arrivals with the given mean. */
  private drawCount(mean: number): number {
    const limit = Math.exp(-mean);
    let product = this.draw();
    let count = 0;
    while (product > limit) {
      product *= this.draw();
      count += 1;
    }
    return count;
  }
}
