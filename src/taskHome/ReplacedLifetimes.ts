import { areOfSameTarget, parseLifetimeId } from '../targets/index.js';
import type { LapsedStarts } from './LapsedStarts.js';
import type { RunKey } from './RunKey.js';
import type { TargetEntries } from './TargetEntry.js';
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
  readonly lapsedStarts: LapsedStarts;
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

  /** Lifetimes whose starts the next one has been given to refuse. */
  private readonly awaited = new Set<string>();

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

  /**
   * Gives up the lifetimes whose next one is listed and answers.
   * @param entries - The targets as the platform lists them.
   */
  check(entries: TargetEntries): void {
    const { listUsedTargets, tracked } = this.options;
    const known = new Set([...tracked.keys(), ...listUsedTargets()]);
    const gone = [...known].filter(
      (targetId) => !entries.has(targetId) && parseLifetimeId(targetId).bornAtMs !== undefined,
    );
    if (gone.length === 0) return;
    const listed = new Map(
      [...entries.keys()].map((targetId) => [parseLifetimeId(targetId).instance, targetId]),
    );
    gone.forEach((targetId) => {
      const nextId = listed.get(parseLifetimeId(targetId).instance);
      const next = nextId === undefined ? undefined : tracked.get(nextId);
      if (next?.session.isReachable === true) this.giveUp(targetId, next.entry.targetId);
    });
  }

  private giveUp(targetId: string, nextId: string): void {
    const { lapsedStarts, listUnconfirmedStarts, onReplaced, tracked } = this.options;
    if (!this.awaited.has(targetId)) {
      this.awaited.add(targetId);
      const { latestReportAskedAtMs = -Infinity } = tracked.get(targetId)?.session ?? {};
      const starts = listUnconfirmedStarts(targetId, latestReportAskedAtMs);
      lapsedStarts.add(
        nextId,
        starts.map((start) => ({ ...start, targetId: nextId })),
      );
    }
    if (lapsedStarts.has(nextId)) return;
    this.awaited.delete(targetId);
    onReplaced(targetId);
  }
}
