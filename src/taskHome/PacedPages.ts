import type { KeyedLogPort, NewestRecords, ReadRequest, ReadResult } from '../store/index.js';
import type { ConcurrencyLimit } from '../utils/index.js';

/** Options of {@link PacedPages}. */
export interface PacedPagesOptions {
  readonly store: Pick<KeyedLogPort, 'readNewest' | 'readFrom'>;
  /** Limit of the pages that this instance reads at the same time, for all partitions together. */
  readonly limit: ConcurrencyLimit;
  /** Called after each page that was read. */
  readonly onPage?: () => void;
  /** Waits until this instance's membership and its targets' leases have just been renewed. */
  readonly whenRenewed: () => Promise<void>;
}

/**
 * Reads pages of newest records without holding up the renewal of leases.
 *
 * A page takes seconds on a narrow link, and answers to renewals wait behind it. Each page
 * therefore begins only when all leases and the membership have just been renewed, so that they
 * outlast the page.
 * Otherwise tasks are killed while the home that would renew their leases is still reading.
 */
export class PacedPages implements Pick<KeyedLogPort, 'readNewest' | 'readFrom'> {
  private readonly options: PacedPagesOptions;

  /**
   * Creates a reader of pages.
   * @param options - The store, and what each page waits for.
   */
  constructor(options: PacedPagesOptions) {
    this.options = options;
  }

  /** {@inheritDoc KeyedLogPort.readNewest} */
  readNewest(topic: string, partition: number, afterKey?: string): Promise<NewestRecords> {
    const { store, limit, onPage, whenRenewed } = this.options;
    return limit.run(async () => {
      await whenRenewed();
      const page = await store.readNewest(topic, partition, afterKey);
      onPage?.();
      return page;
    });
  }

  /** {@inheritDoc KeyedLogPort.readFrom} */
  readFrom(request: ReadRequest): Promise<ReadResult> {
    return this.options.store.readFrom(request);
  }
}
