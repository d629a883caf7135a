import type { EventLog } from '../logging/index.js';
import type { PoolDemand } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm } from '../vms/index.js';

/** Options of {@link PoolReporter}. */
export interface PoolReporterOptions {
  readonly events: EventLog;
  readonly clock: Clock;
}

/** How often the pools are told of, in milliseconds: a rush lasts some seconds. */
const TELL_EVERY_MS = 1_000;
const MILLICORES_PER_CORE = 1_000;

const toCores = (millicores: number): number => Math.round(millicores / MILLICORES_PER_CORE);

/** Tells at intervals what every pool has and needs, from which a day can be read afterwards. */
export class PoolReporter {
  private readonly options: PoolReporterOptions;

  private toldAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Starts without a line.
   * @param options - Log and clock.
   */
  constructor(options: PoolReporterOptions) {
    this.options = options;
  }

  /**
   * Takes note of a look at the fleet.
   * @param demands - What the homes of the pools have told.
   * @param vms - The VMs as listed.
   * @param heldVms - VMs that get no new tasks, or must not be moved.
   */
  note(
    demands: readonly PoolDemand[],
    vms: readonly FleetVm[],
    heldVms: ReadonlySet<string>,
  ): void {
    const { events, clock } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.toldAtMs < TELL_EVERY_MS) return;
    this.toldAtMs = nowMs;
    demands.forEach((demand) => {
      const ofPool = vms.filter(({ pool }) => pool === demand.pool);
      const usedMillicores = demand.targets
        .map(({ usedCpuMillicores }) => usedCpuMillicores)
        .reduce((sum, millicores) => sum + millicores, 0);
      events.write('poolSeen', {
        pool: demand.pool,
        upCount: ofPool.filter(({ state }) => state === 'up').length,
        movingCount: ofPool.filter(({ state }) => state === 'moving').length,
        heldCount: ofPool.filter(({ vm }) => heldVms.has(vm)).length,
        neededCores: toCores(demand.neededCpuMillicores),
        waitingCores: toCores(demand.waitingCpuMillicores),
        usedCores: toCores(usedMillicores),
        jobCount: demand.jobCount,
      });
    });
  }
}
