/** What is known of a pool at one time. */
export interface PoolReading {
  /** CPU of the targets that take tasks, in thousandths of a core. */
  readonly capacityCpuMillicores: number;
  /** Unfinished work, in thousandths of a core times milliseconds. */
  readonly backlogWork: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/**
 * Time within which a VM of another pool joins one that is short, in milliseconds: it is drained of
 * tasks of 1 to 2 s, moves for about as long, and its target is found within another second.
 */
const VM_JOIN_MS = 4_000;
/**
 * Time for which a reading tells of the present, in milliseconds. Readings come with arriving jobs,
 * so a pool without them for longer is not under pressure.
 */
const READING_VALID_MS = 1_000;
/** A pool that works its backlog off within this time is not short, in milliseconds. */
const SHORT_BACKLOG_MS = 1_000;

/**
 * Tells whether a pool stays short of room. Its present capacity says little while VMs may still be
 * on their way to it, which its home does not know.
 *
 * This handles the peak of an idle pool, which gets many times its VMs within seconds.
 */
export class PoolPressure {
  private lastCapacityMillicores = 0;

  /** Since when the pool has been short without a VM that joined; undefined before any reading. */
  private shortSinceMs: number | undefined;

  /** Monotonic time of the latest reading. */
  private readAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Takes note of a reading.
   * @param reading - Capacity and backlog of the pool.
   */
  note({ capacityCpuMillicores, backlogWork, nowMs }: PoolReading): void {
    const isShort = backlogWork > SHORT_BACKLOG_MS * capacityCpuMillicores;
    const hasGrown = capacityCpuMillicores > this.lastCapacityMillicores;
    if (!isShort || hasGrown) this.shortSinceMs = nowMs;
    this.shortSinceMs ??= nowMs;
    this.readAtMs = nowMs;
    this.lastCapacityMillicores = capacityCpuMillicores;
  }

  /**
   * Tells whether no VM has joined the pool in the time in which one would have.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether the pool stays short as far as can be told.
   */
  isLasting(nowMs: number): boolean {
    if (this.shortSinceMs === undefined || nowMs - this.readAtMs > READING_VALID_MS) return false;
    return nowMs - this.shortSinceMs >= VM_JOIN_MS;
  }
}
