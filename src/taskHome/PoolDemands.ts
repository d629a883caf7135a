import {
  listOrganisationUse,
  type Mechanisms,
  type OrganisationUse,
  type PoolDemand,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import { describeDemand } from './describeDemand.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { PoolArrivals } from './PoolArrivals.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';

/** Options of {@link PoolDemands}. */
export interface PoolDemandsOptions {
  readonly table: JobTable;
  readonly runs: TaskRuns;
  readonly sessions: TargetSessions;
  readonly arrivals: PoolArrivals;
  readonly telemetry: JobTelemetry;
  readonly mechanisms: Mechanisms;
  /** Clock that determines which tasks are due. */
  readonly dueClock: Clock;
}

/** Describes the load and demand of the pools of a home. */
export class PoolDemands {
  private readonly options: PoolDemandsOptions;

  /**
   * Creates a source of descriptions.
   * @param options - Jobs, runs and targets of the home.
   */
  constructor(options: PoolDemandsOptions) {
    this.options = options;
  }

  /**
   * Describes the load and demand of a pool, and records them in the telemetry.
   * @param pool - Name of the pool.
   * @returns Its load and demand at this moment.
   */
  describe(pool: string): PoolDemand {
    const { dueClock, mechanisms, runs, sessions, table, telemetry } = this.options;
    const arrivals = this.options.arrivals.get(pool);
    const demand = describeDemand({
      pool,
      rows: table.listActive(),
      targets: sessions.listForPlacement(() => false),
      countRuns: (targetId) => runs.countOn(targetId),
      runTimes: runs.runTimes,
      arrivingCpuMillicores: arrivals.forecast(mechanisms),
      mechanisms,
      nowMs: dueClock.wallMs(),
    });
    telemetry.noteDemand(demand);
    return demand;
  }

  /**
   * Lists what organisations use and wait for in a pool.
   * @param pool - Name of the pool.
   * @returns One entry for each organisation with jobs in the pool.
   */
  listOrganisationUse(pool: string): readonly OrganisationUse[] {
    const { dueClock, table } = this.options;
    const rows = table.listActive().filter(({ spec }) => spec.terms.pool === pool);
    return listOrganisationUse(rows, dueClock.wallMs());
  }
}
