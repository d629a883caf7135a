import type { LogFollower } from '../log/index.js';
import type { LogPort } from '../platform/index.js';
import type { FleetTables } from '../tables/index.js';

/** Options of {@link LogEndReader}. */
export interface LogEndReaderOptions {
  readonly log: Pick<LogPort, 'read'>;
  readonly stream: string;
  readonly fleet: FleetTables;
  readonly follower: Pick<LogFollower, 'offer'>;
}

const MAX_READ_COUNT = 500;

/** Reads the log to its end on demand, beside the follower and its long reads. */
export class LogEndReader {
  private readonly options: LogEndReaderOptions;

  private currentRead: Promise<boolean> = Promise.resolve(true);

  private nextRead: Promise<boolean> | undefined;

  /**
   * Creates a reader that has read nothing.
   * @param options - Log, state, and the follower that applies what is read.
   */
  constructor(options: LogEndReaderOptions) {
    this.options = options;
  }

  /**
   * Reads the log to its end by a read that is sent from now on. Whoever comes while one is under
   * way shares the next one.
   * @returns Whether the state holds everything that stood on the log.
   */
  read(): Promise<boolean> {
    this.nextRead ??= this.currentRead.then(() => {
      this.nextRead = undefined;
      this.currentRead = this.readOnce();
      return this.currentRead;
    });
    return this.nextRead;
  }

  private async readOnce(): Promise<boolean> {
    const { log, stream, fleet, follower } = this.options;
    try {
      const fromOffset = fleet.nextOffset;
      const options = { stream, fromOffset, maxCount: MAX_READ_COUNT, waitMs: 0 };
      const result = await log.read(options);
      if (result.type !== 'entries') return false;
      follower.offer(result.entries);
      return fleet.nextOffset >= result.endOffset;
    } catch {
      return false;
    }
  }
}
