import { areOfSameTarget, parseLifetimeId } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { LapsedStarts } from './LapsedStarts.js';
import type { RunKey } from './RunKey.js';
import type { TrackedTarget } from './TrackedTarget.js';

/** Options of {@link ReplacedLifetimes}. */
export interface ReplacedLifetimesOptions {
  /** The targets that the home has a session with, by id of the lifetime. */
  readonly tracked: ReadonlyMap<string, TrackedTarget>;
  /** Lists the targets on which tasks are placed. */
  readonly listUsedTargets: () => ReadonlySet<string>;
  /**
   * Lists the runs on a target whose starts no report has confirmed, by when the latest report was
   * requested on the monotonic clock.
   */
  readonly listUnconfirmedStarts: (targetId: string, sinceMs: number) => readonly RunKey[];
  /** Tells whether the latest report of a target shows runs that nobody wants there. */
  readonly hasUnwantedRuns: (targetId: string) => boolean;
  readonly lapsedStarts: LapsedStarts;
  readonly clock: Clock;
  /** Called when nothing of a lifetime can run any more. */
  readonly onReplaced: (targetId: string) => void;
}

/**
 * Lifetimes of targets that have started again under their ids.
 *
 * What ran in them is lost at once. A start that was sent about when the target started again may
 * have reached the next lifetime, which knows no fence: its run is given up only once the next
 * lifetime has accepted a stop of it, or the task could run twice.
 */
export class ReplacedLifetimes {
  private readonly options: ReplacedLifetimesOptions;

  /**
   * Time of the monotonic clock at which the next lifetime had accepted the stops, by lifetime;
   * infinite until then.
   */
  private readonly awaited = new Map<string, number>();

  /**
   * Starts without lifetimes.
   * @param options - The targets, and their runs.
   */
  constructor(options: ReplacedLifetimesOptions) {
    this.options = options;
  }

  /**
   * Ends the renewals for earlier lifetimes of a target; they would make the present one discard
   * its ends.
   * @param targetId - Id of the present lifetime.
   */
  closeEarlier(targetId: string): void {
    if (parseLifetimeId(targetId).bornAtMs === undefined) return;
    [...this.options.tracked]
      .filter(([knownId]) => areOfSameTarget(knownId, targetId))
      .forEach(([, { session }]) => session.close());
  }

  /** Gives up the lifetimes whose next one answers. */
  check(): void {
    const { listUsedTargets, tracked } = this.options;
    const known = new Set([...tracked.keys(), ...listUsedTargets()]);
    const over = [...known].filter(
      (targetId) =>
        tracked.get(targetId)?.session.isOver !== false &&
        parseLifetimeId(targetId).bornAtMs !== undefined,
    );
    if (over.length === 0) return;
    const present = new Map(
      [...tracked.values()]
        .filter(({ session }) => session.isReachable)
        .map((target) => [parseLifetimeId(target.entry.targetId).instance, target]),
    );
    over.forEach((targetId) => {
      const next = present.get(parseLifetimeId(targetId).instance);
      if (next !== undefined) this.giveUp(targetId, next);
    });
  }

  /**
   * Gives up a lifetime unless one of its starts may have reached the next one. What comes of such
   * a start is known from a report that is requested after the next lifetime has accepted its stop.
   */
  private giveUp(targetId: string, { entry, session }: TrackedTarget): void {
    const { clock, hasUnwantedRuns, lapsedStarts, onReplaced } = this.options;
    const starts = this.awaited.has(targetId) ? [] : this.listUnconfirmedStarts(targetId);
    if (starts.length > 0) {
      const { targetId: nextId } = entry;
      lapsedStarts.add(
        nextId,
        starts.map((start) => ({ ...start, targetId: nextId })),
      );
      this.awaited.set(targetId, Infinity);
    }
    if (lapsedStarts.has(entry.targetId)) return;
    if (this.awaited.get(targetId) === Infinity) this.awaited.set(targetId, clock.monotonicMs());
    const reportedSinceMs = this.awaited.get(targetId);
    const isAwaited =
      reportedSinceMs !== undefined &&
      (session.latestReportAskedAtMs < reportedSinceMs || hasUnwantedRuns(entry.targetId));
    if (isAwaited) return;
    this.awaited.delete(targetId);
    onReplaced(targetId);
  }

  private listUnconfirmedStarts(targetId: string): readonly RunKey[] {
    const { listUnconfirmedStarts, tracked } = this.options;
    const { latestReportAskedAtMs = -Infinity } = tracked.get(targetId)?.session ?? {};
    return listUnconfirmedStarts(targetId, latestReportAskedAtMs);
  }
}
