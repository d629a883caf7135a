import { setTimeout as sleep } from 'node:timers/promises';
import { type Clock, SystemClock } from '../../src/utils/index.js';

/** Direction of a transfer, as the instance behind the link sees it. */
export type LinkDirection = 'up' | 'down';

/** Options of {@link NarrowLink}. */
export interface NarrowLinkOptions {
  /** Width of each direction, in bits per millisecond. */
  readonly bitsPerMs: number;
  /** Share of the width that other transfers take, such as those of callers; 0 if absent. */
  readonly takenShare?: number;
  /**
   * Most bytes that a transfer sends in one turn before others have theirs, as a connection with a
   * small window does; a transfer is sent as a whole if absent.
   */
  readonly windowBytes?: number;
  readonly clock?: Clock;
}

const BITS_PER_BYTE = 8;

/** The link of one instance: each direction carries one transfer at a time, first come first. */
export class NarrowLink {
  /** Bytes that were asked to be carried, by direction. */
  readonly carriedBytes: Record<LinkDirection, number> = { up: 0, down: 0 };

  private readonly bytesPerMs: number;

  private readonly windowBytes: number;

  private readonly clock: Clock;

  /** When each direction has carried all that was asked of it, by the monotonic clock. */
  private readonly freeAtMs: Record<LinkDirection, number> = { up: 0, down: 0 };

  /**
   * Creates a link that carries nothing yet.
   * @param options - Its width, and what others take of it.
   */
  constructor({ bitsPerMs, takenShare = 0, windowBytes = Infinity, clock }: NarrowLinkOptions) {
    this.bytesPerMs = (bitsPerMs * (1 - takenShare)) / BITS_PER_BYTE;
    this.windowBytes = windowBytes;
    this.clock = clock ?? new SystemClock();
  }

  /**
   * Carries a transfer. Its end is worked out from the width alone, so that late timers of a busy
   * machine don't make the link narrower.
   * @param direction - Where it goes.
   * @param sizeBytes - Its size.
   * @returns Resolves once its last byte has arrived.
   */
  async transfer(direction: LinkDirection, sizeBytes: number): Promise<void> {
    this.carriedBytes[direction] += sizeBytes;
    let readyAtMs = this.clock.monotonicMs();
    let leftBytes = sizeBytes;
    while (leftBytes > 0) {
      const turnBytes = Math.min(leftBytes, this.windowBytes);
      readyAtMs = Math.max(readyAtMs, this.freeAtMs[direction]) + turnBytes / this.bytesPerMs;
      this.freeAtMs[direction] = readyAtMs;
      leftBytes -= turnBytes;
      // eslint-disable-next-line no-await-in-loop -- one turn follows the other
      await this.waitUntil(readyAtMs);
    }
  }

  private async waitUntil(atMs: number): Promise<void> {
    let waitMs = atMs - this.clock.monotonicMs();
    while (waitMs > 0) {
      // eslint-disable-next-line no-await-in-loop -- a timer may fire up to a millisecond early
      await sleep(Math.ceil(waitMs));
      waitMs = atMs - this.clock.monotonicMs();
    }
  }
}
