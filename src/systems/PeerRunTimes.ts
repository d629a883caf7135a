import { findLowerMedian } from './findLowerMedian.js';

/** Whole run time of a task, as its progress or its end tells. */
export interface PeerRun {
  readonly stepKey: string;
  readonly taskName: string;
  readonly targetId: string;
  readonly runMs: number;
}

/** Tasks of a step on other targets from which on their run times tell what a task needs. */
const MIN_PEER_COUNT = 3;
/** Most tasks of a step whose run times are kept. */
const MAX_PEER_COUNT = 16;
/** Most steps whose run times are kept; the oldest are forgotten first. */
const MAX_STEP_COUNT = 1_000;

/** Keeps how long the tasks of each step take, to compare targets that run tasks of one step. */
export class PeerRunTimes {
  private readonly bySteps = new Map<string, Map<string, PeerRun>>();

  /**
   * Records how long a task takes.
   * @param peer - The task, its target and its run time.
   */
  note(peer: PeerRun): void {
    const { stepKey, taskName } = peer;
    const peers = this.bySteps.get(stepKey) ?? new Map<string, PeerRun>();
    peers.delete(taskName);
    peers.set(taskName, peer);
    if (peers.size > MAX_PEER_COUNT) peers.delete(peers.keys().next().value!);
    this.bySteps.set(stepKey, peers);
    if (this.bySteps.size > MAX_STEP_COUNT) {
      this.bySteps.delete(this.bySteps.keys().next().value!);
    }
  }

  /**
   * Tells how long the tasks of a step take on other targets than one.
   * @param stepKey - Job, occurrence and step.
   * @param targetId - The target that is left out.
   * @returns Median run time in milliseconds; undefined if too few tasks of the step tell.
   */
  getElsewhereMs(stepKey: string, targetId: string): number | undefined {
    const peers = [...(this.bySteps.get(stepKey)?.values() ?? [])];
    const elsewhereMs = peers
      .filter((peer) => peer.targetId !== targetId)
      .map(({ runMs }) => runMs);
    return elsewhereMs.length < MIN_PEER_COUNT ? undefined : findLowerMedian(elsewhereMs);
  }
}
