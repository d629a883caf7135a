import { type DurableJobRow, isLongRunning } from '../jobs/index.js';
import { hashText } from '../utils/index.js';
import type { PoolBacklog } from './PoolBacklog.js';
import type { RunTimes } from './RunTimes.js';

/** Input of {@link admitJob}. */
export interface AdmitJobInput {
  /** The arriving job, which is not part of the backlog. */
  readonly row: DurableJobRow;
  /** Unfinished work of the pool. */
  readonly backlog: PoolBacklog;
  /** CPU of the targets that take tasks, in thousandths of a core. */
  readonly capacityCpuMillicores: number;
  /** CPU that keeps up with arriving jobs, in thousandths of a core; 0 if that is unknown. */
  readonly arrivingCpuMillicores: number;
  readonly runTimes: RunTimes;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Refusal of a job that would end too late to be of use. */
export interface RefusedAdmission {
  readonly type: 'refused';
  /** Earliest time at which the job is expected to end. */
  readonly expectedEndAtMs: number;
  /** Time after which its end is of no use to its caller. */
  readonly usefulUntilMs: number;
  /** Unfinished work of the pool, in thousandths of a core times milliseconds. */
  readonly backlogWork: number;
  /** When the caller should come back. */
  readonly retryAtMs: number;
}

/** Whether a pool accepts a job. */
export type Admission = { readonly type: 'admitted' } | RefusedAdmission;

/** An end is of some use to the caller for up to this many times the objective. */
const USEFUL_OBJECTIVE_FACTOR = 3;
/** Part of an estimated wait that is certain, since run times and capacity are estimates. */
const CERTAIN_WAIT_SHARE = 0.75;
/** Part of the arriving work that is expected to go on arriving while late jobs wait. */
const LASTING_ARRIVAL_SHARE = 0.5;
/** Part of the capacity that late jobs get at least, as peaks end and VMs join the pool. */
const MIN_CATCH_UP_SHARE = 0.25;
/** Shortest and longest time at which callers begin to be asked back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 15_000;

const HASH_RANGE = 2 ** 32;

/** Spreads jobs evenly over [0, 1), the same for each submission of a job. */
function getSpread(jobId: string): number {
  return hashText(jobId) / HASH_RANGE;
}

function getRetryAfterMs(jobId: string, untilInTimeMs: number): number {
  const earliestMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, untilInTimeMs));
  return earliestMs * (1 + getSpread(jobId));
}

/**
 * Decides whether a pool accepts a job. It is refused if it would certainly end too late to be of
 * use: the work that is placed before it takes longer than it can wait for its objective, and with
 * the late work before it, it ends beyond three times its objective. Long-running services and
 * scheduled jobs are always accepted.
 *
 * This handles more jobs than a pool can carry, for longer than callers wait. Without refusals each
 * caller learns at its own time limit that it has waited in vain, and the pool later runs work that
 * nobody needs. A refused caller is asked back at the time at which the pool is expected to serve
 * the job in time, or up to twice as late, so that refused callers do not return together and take
 * the place of others.
 * @param input - The job, the unfinished work of its pool, and the capacity.
 * @returns The decision.
 */
export function admitJob(input: AdmitJobInput): Admission {
  const { row, backlog, capacityCpuMillicores, arrivingCpuMillicores, runTimes, nowMs } = input;
  const { jobId, schedule, submittedAtMs, terms } = row.spec;
  const jobMillicores = capacityCpuMillicores - backlog.longRunningCpuMillicores;
  // Without capacity there is no estimate: VMs may join at any moment.
  if (isLongRunning(row) || schedule !== undefined || jobMillicores <= 0) {
    return { type: 'admitted' };
  }
  const chainMs = runTimes.estimateChainMs(row);
  const objectiveMs = terms.stretch * chainMs + terms.targetDurationMs;
  const ahead = backlog.sumAhead(row);
  const onTimeWaitMs = (CERTAIN_WAIT_SHARE * ahead.onTime) / jobMillicores;
  if (nowMs + onTimeWaitMs + chainMs <= submittedAtMs + objectiveMs) return { type: 'admitted' };
  const catchUpMillicores = Math.max(
    MIN_CATCH_UP_SHARE * jobMillicores,
    jobMillicores - LASTING_ARRIVAL_SHARE * arrivingCpuMillicores,
  );
  const lateWaitMs = ahead.late / catchUpMillicores;
  const expectedEndAtMs = nowMs + CERTAIN_WAIT_SHARE * lateWaitMs + chainMs;
  const usefulUntilMs = submittedAtMs + USEFUL_OBJECTIVE_FACTOR * objectiveMs;
  if (expectedEndAtMs <= usefulUntilMs) return { type: 'admitted' };
  const untilInTimeMs = lateWaitMs + chainMs - objectiveMs;
  return {
    type: 'refused',
    expectedEndAtMs,
    usefulUntilMs,
    backlogWork: backlog.totalWork,
    retryAtMs: nowMs + getRetryAfterMs(jobId, untilInTimeMs),
  };
}
