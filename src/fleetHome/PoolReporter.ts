import type { EventLog } from '../logging/index.js';
import type { PoolDemand } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm } from '../vms/index.js';

/** Options of {@link PoolReporter}. */
export interface PoolReporterOptions {
  readonly events: EventLog;
  readonly clock: Clock;
}

/** Interval between two reports, in milliseconds; a load peak lasts several seconds. */
const REPORT_INTERVAL_MS = 1_000;
const MILLICORES_PER_CORE = 1_000;

const toCores = (millicores: number): number => Math.round(millicores / MILLICORES_PER_CORE);

/** Logs the capacity and demand of every pool at intervals, for later analysis of a day. */
export class PoolReporter {
  private readonly options: PoolReporterOptions;

  private reportedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a reporter that has logged nothing.
   * @param options - Event log and clock.
   */
  constructor(options: PoolReporterOptions) {
    this.options = options;
  }

  /**
   * Logs the state of the pools if the interval since the last report has elapsed.
   * @param demands - Demands reported by the homes of the pools.
   * @param vms - The VMs as listed.
   * @param heldVms - VMs that get no new tasks or must not be moved.
   */
  report(
    demands: readonly PoolDemand[],
    vms: readonly FleetVm[],
    heldVms: ReadonlySet<string>,
  ): void {
    const { events, clock } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) return;
    this.reportedAtMs = nowMs;
    demands.forEach((demand) => {
      const poolVms = vms.filter(({ pool }) => pool === demand.pool);
      const usedMillicores = demand.targets
        .map(({ usedCpuMillicores }) => usedCpuMillicores)
        .reduce((sum, millicores) => sum + millicores, 0);
      events.write('poolSeen', {
        pool: demand.pool,
        upCount: poolVms.filter(({ state }) => state === 'up').length,
        movingCount: poolVms.filter(({ state }) => state === 'moving').length,
        heldCount: poolVms.filter(({ vm }) => heldVms.has(vm)).length,
        neededCores: toCores(demand.neededCpuMillicores),
        waitingCores: toCores(demand.waitingCpuMillicores),
        usedCores: toCores(usedMillicores),
        jobCount: demand.jobCount,
      });
    });
  }
}
