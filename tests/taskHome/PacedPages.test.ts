import { describe, expect, it } from 'vitest';
import type { NewestRecords } from '../../src/store/index.js';
import { PacedPages } from '../../src/taskHome/PacedPages.js';
import { ConcurrencyLimit } from '../../src/utils/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

const EMPTY_PAGE: NewestRecords = { records: [], endOffset: 0, nextAfterKey: undefined };

describe('PacedPages', () => {
  // Guards against leases that lapse while a page of records occupies the link.
  it('begins a page only once the leases are fresh', async () => {
    const steps: string[] = [];
    const pages = new PacedPages({
      store: {
        readNewest: async () => {
          steps.push('page');
          return EMPTY_PAGE;
        },
        readFrom: (request) => new StoreStandIn({ partitionCount: 1 }).readFrom(request),
      },
      limit: new ConcurrencyLimit(1),
      whenRenewed: async () => {
        steps.push('leases');
      },
    });
    await Promise.all([pages.readNewest('jobs', 0), pages.readNewest('jobs', 1)]);
    expect(steps).toEqual(['leases', 'page', 'leases', 'page']);
  });
});
