import { throwError } from '../errors/index.js';
import type { DurableJobRow } from '../jobs/index.js';
import { getWeight, type Organisation } from '../queues/index.js';
import {
  admitJob,
  type Mechanisms,
  type PlacementTarget,
  PoolBacklog,
  PoolPressure,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { PoolArrivals } from './PoolArrivals.js';
import type { TargetDrains } from './TargetDrains.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';

/** Options of {@link JobAdmission}. */
export interface JobAdmissionOptions {
  /** Whether the settings call for refusals; absent means that every job is accepted. */
  readonly refusesUnservableJobs?: boolean;
  readonly mechanisms: Mechanisms;
  readonly table: JobTable;
  readonly runs: TaskRuns;
  readonly sessions: TargetSessions;
  readonly drains: TargetDrains;
  readonly arrivals: PoolArrivals;
  readonly telemetry: JobTelemetry;
  /** Lists the organisations of the configuration in force. */
  readonly listOrganisations: () => readonly Organisation[];
  /** Whether this instance is certain to be the home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
  /** Steady clock, by which ages are measured. */
  readonly clock: Clock;
  /** Clock of the instance, by which callers are told when to come back. */
  readonly wallClock: Clock;
}

/** What decisions about the arriving jobs of a pool rest on. */
interface AdmissionBasis {
  readonly backlog: PoolBacklog;
  /** CPU of the targets that take tasks, in thousandths of a core; 0 if too few have answered. */
  readonly capacityCpuMillicores: number;
  /** Monotonic time until which the basis is used, in milliseconds. */
  readonly validUntilMs: number;
}

/** Time for which the basis of a pool is used, in milliseconds: short against any run of a task. */
const BASIS_VALID_MS = 100;
/**
 * Time after its opening within which a home refuses nothing, in milliseconds: targets are found
 * within one second, and report what runs on them within another.
 */
const SETTLING_MS = 2_000;
/** Part of a pool's known CPU that must take tasks for its capacity to count as known. */
const MIN_ANSWERING_SHARE = 0.5;

function sumCpu(targets: readonly PlacementTarget[]): number {
  return targets.reduce((sum, { capacity }) => sum + capacity.cpuMillicores, 0);
}

/** Refuses arriving jobs that would end too late to be of use, before anything is stored. */
export class JobAdmission {
  private readonly options: JobAdmissionOptions;

  private readonly basisByPool = new Map<string, AdmissionBasis>();

  private readonly pressures = new Map<string, PoolPressure>();

  /** Monotonic time before which nothing is refused; infinite until the home has its jobs. */
  private settledAtMs = Infinity;

  /**
   * Creates the admission of a home that has not read its jobs yet.
   * @param options - Jobs, targets and run times of the home.
   */
  constructor(options: JobAdmissionOptions) {
    this.options = options;
  }

  /** Whether jobs may be refused. */
  private get isEnabled(): boolean {
    const { mechanisms, refusesUnservableJobs = false } = this.options;
    return refusesUnservableJobs && mechanisms.has('unservable-jobs-refused');
  }

  /** Takes note that the home has its jobs, and that its targets begin to report. */
  handleLoaded(): void {
    this.settledAtMs = this.options.clock.monotonicMs() + SETTLING_MS;
  }

  /** Forgets the sums of unfinished work, as a cancelled job has left room. */
  handleCancelled(): void {
    this.basisByPool.clear();
  }

  /**
   * Lists the pools that refuse what they can't serve in time. There, newest first would give the
   * room that was counted for an accepted job to one that arrives later.
   * @returns Names of the pools.
   */
  listRefusingPools(): ReadonlySet<string> {
    if (!this.isEnabled) return new Set();
    const nowMs = this.options.clock.monotonicMs();
    const refusing = [...this.pressures].filter(([, pressure]) => pressure.isLasting(nowMs));
    return new Set(refusing.map(([pool]) => pool));
  }

  /**
   * Accepts an arriving job, or refuses it.
   * @param row - The job, which is neither known nor stored.
   * @throws RattanliftError Of kind `no-capacity`, with the time to come back.
   */
  admit(row: DurableJobRow): void {
    const { arrivals, clock, isGroupLeaseHeld, runs, telemetry } = this.options;
    if (!this.isEnabled || clock.monotonicMs() < this.settledAtMs) return;
    // The next home may have stored the job already; where there is one, the append fails.
    if (!isGroupLeaseHeld()) return;
    const { pool } = row.spec.terms;
    const { backlog, capacityCpuMillicores } = this.getBasis(pool);
    const { runTimes } = runs;
    const arrivingCpuMillicores = arrivals.get(pool).cpuMillicores;
    const nowMs = clock.wallMs();
    const capacity = { capacityCpuMillicores, arrivingCpuMillicores };
    const admission = admitJob({ row, backlog, ...capacity, runTimes, nowMs });
    const isLasting = this.getPressure(pool).isLasting(clock.monotonicMs());
    if (admission.type === 'admitted' || !isLasting) backlog.add(row);
    else {
      telemetry.noteRefused(row, admission);
      this.refuse(admission.retryAtMs - nowMs);
    }
  }

  private refuse(retryAfterMs: number): never {
    // The steady clock may differ from that of the instance, which tells the time to the entry.
    const retryAtMs = this.options.wallClock.wallMs() + retryAfterMs;
    return throwError('no-capacity', 'The work ahead of the job takes too long.', { retryAtMs });
  }

  private getBasis(pool: string): AdmissionBasis {
    const known = this.basisByPool.get(pool);
    if (known !== undefined && this.options.clock.monotonicMs() < known.validUntilMs) return known;
    const created = this.createBasis(pool);
    this.basisByPool.set(pool, created);
    const { backlog, capacityCpuMillicores } = created;
    const nowMs = this.options.clock.monotonicMs();
    const { totalWork: backlogWork } = backlog;
    this.getPressure(pool).note({ capacityCpuMillicores, backlogWork, nowMs });
    return created;
  }

  private getPressure(pool: string): PoolPressure {
    const known = this.pressures.get(pool);
    if (known !== undefined) return known;
    const created = new PoolPressure();
    this.pressures.set(pool, created);
    return created;
  }

  private createBasis(pool: string): AdmissionBasis {
    const { clock, listOrganisations, runs, table } = this.options;
    const organisations = listOrganisations();
    const rows = table.listActive().filter(({ spec }) => spec.terms.pool === pool);
    const backlog = new PoolBacklog(rows, {
      runTimes: runs.runTimes,
      getWeight: (name) => getWeight(organisations, name),
      nowMs: clock.wallMs(),
    });
    return {
      backlog,
      capacityCpuMillicores: this.sumCapacity(pool),
      validUntilMs: clock.monotonicMs() + BASIS_VALID_MS,
    };
  }

  private sumCapacity(pool: string): number {
    const { drains, runs, sessions } = this.options;
    const targets = sessions
      .listForPlacement((targetId) => runs.isAvoided(targetId) || drains.has(targetId))
      .filter((target) => target.pool === pool);
    const takingCpu = sumCpu(targets.filter(({ takesTasks }) => takesTasks));
    return takingCpu < MIN_ANSWERING_SHARE * sumCpu(targets) ? 0 : takingCpu;
  }
}
