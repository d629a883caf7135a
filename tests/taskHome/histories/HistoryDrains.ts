import { EMPTY_SYNC_REQUEST } from '../HomeWorld.js';
import type { HistoryHomes } from './HistoryHomes.js';
import type { VirtualTime } from './VirtualTime.js';

/** Interval at which the fleet's home tells of drained targets, in milliseconds. */
export const SYNC_EVERY_MS = 200;
const DRAINED_FOR_MS = 3_000;

/** The targets that the fleet's home drains, and what it tells the home of them. */
export class HistoryDrains {
  private readonly time: VirtualTime;

  private readonly homes: HistoryHomes;

  private drainedTargets: readonly string[] = [];

  private isOver = false;

  /**
   * Begins to tell the home, at first of none.
   * @param time - Virtual time.
   * @param homes - The homes.
   */
  constructor(time: VirtualTime, homes: HistoryHomes) {
    this.time = time;
    this.homes = homes;
    this.sync();
  }

  /**
   * Drains some targets alone from now on.
   * @param targetIds - Their ids.
   */
  replace(targetIds: readonly string[]): void {
    this.drainedTargets = targetIds;
  }

  /** Tells the home no more. */
  close(): void {
    this.isOver = true;
  }

  private sync(): void {
    if (this.isOver) return;
    const { drainedTargets } = this;
    const request = { ...EMPTY_SYNC_REQUEST, drainedTargets, drainedForMs: DRAINED_FOR_MS };
    this.homes.current?.syncPool(request).catch(() => undefined);
    this.time.call(SYNC_EVERY_MS, () => this.sync());
  }
}
