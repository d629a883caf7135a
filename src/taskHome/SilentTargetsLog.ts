import type { EventLog } from '../logging/index.js';
import { listAllocations } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TrackedTarget } from './TrackedTarget.js';

/** Options of {@link SilentTargetsLog}. */
export interface SilentTargetsLogOptions {
  readonly table: Pick<JobTable, 'listActive'>;
  readonly sessions: Pick<TargetSessions, 'listTracked'>;
  readonly events: EventLog;
  readonly partition: number;
  readonly term: number;
  readonly clock: Clock;
}

/** Time between two looks at the targets, and so between two log lines, in milliseconds. */
const INTERVAL_MS = 1_000;
/** Number of targets that a log line names; the lines of single targets name the others. */
const NAMED_COUNT = 3;

/** A target with runs that does not answer. */
interface SilentTarget {
  readonly targetId: string;
  readonly isListed: boolean;
  readonly runCount: number;
  readonly silentMs: number;
  /** How long its lease has certainly been over, in milliseconds; negative before its end. */
  readonly pastLeaseMs: number;
}

function describe(
  { entry, session, isListed, appearedAtMs }: TrackedTarget,
  runCounts: ReadonlyMap<string, number>,
  nowMs: number,
): SilentTarget {
  const { targetId } = entry;
  return {
    targetId,
    isListed,
    runCount: runCounts.get(targetId) ?? 0,
    silentMs: nowMs - (session.answeredAtMs ?? appearedAtMs),
    pastLeaseMs: nowMs - session.latestLapseAtMs,
  };
}

function sumRuns(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

function findMost(amounts: readonly number[]): number {
  return Math.round(amounts.reduce((most, amount) => Math.max(most, amount), 0));
}

/**
 * Logs the targets whose runs a home has not given up although their leases are certainly over, or
 * although it has no session with them, at most once a second.
 */
export class SilentTargetsLog {
  private readonly options: SilentTargetsLogOptions;

  private nextAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a log that has not looked yet.
   * @param options - The jobs and targets of the home, and where to log.
   */
  constructor(options: SilentTargetsLogOptions) {
    this.options = options;
  }

  /** Looks at the targets and logs them, if the latest look is old enough. */
  check(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.nextAtMs) return;
    this.nextAtMs = nowMs + INTERVAL_MS;
    const runCounts = this.countRuns();
    if (runCounts.size === 0) return;
    const tracked = this.options.sessions.listTracked();
    const silent = tracked
      .filter(({ entry, session }) => !session.isReachable && runCounts.has(entry.targetId))
      .map((target) => describe(target, runCounts, nowMs));
    tracked.forEach(({ entry }) => runCounts.delete(entry.targetId));
    this.write(silent, [...runCounts.values()]);
  }

  private countRuns(): Map<string, number> {
    const counts = new Map<string, number>();
    this.options.table
      .listActive()
      .flatMap(listAllocations)
      .forEach(({ targetId }) => counts.set(targetId, (counts.get(targetId) ?? 0) + 1));
    return counts;
  }

  private write(silent: readonly SilentTarget[], unknownRunCounts: readonly number[]): void {
    const { events, partition, term } = this.options;
    const pastLease = silent
      .filter(({ pastLeaseMs }) => pastLeaseMs > 0)
      .toSorted((a, b) => b.pastLeaseMs - a.pastLeaseMs);
    if (pastLease.length === 0 && unknownRunCounts.length === 0) return;
    events.write('targetsSilent', {
      partition,
      term,
      silentCount: silent.length,
      pastLeaseCount: pastLease.length,
      listedPastLeaseCount: pastLease.filter(({ isListed }) => isListed).length,
      runCount: sumRuns(pastLease.map(({ runCount }) => runCount)),
      longestSilenceMs: findMost(silent.map(({ silentMs }) => silentMs)),
      longestPastLeaseMs: findMost(pastLease.map(({ pastLeaseMs }) => pastLeaseMs)),
      unknownCount: unknownRunCounts.length,
      unknownRunCount: sumRuns(unknownRunCounts),
      targetIds: pastLease.slice(0, NAMED_COUNT).map(({ targetId }) => targetId),
    });
  }
}
