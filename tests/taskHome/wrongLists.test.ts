import { expect, it } from 'vitest';
import { decodeJobRecord } from '../../src/jobs/index.js';
import { parsePeerRequest } from '../../src/peers/peerSchemas.js';
import { encodeRecordValue } from '../../src/store/index.js';
import { findReason } from '../support/index.js';
import { makeJob } from './HomeWorld.js';

const WRONG_ITEMS = Array<undefined>(100_000).fill(undefined);
const MAX_REASON_LENGTH = 4_000;

function expectShort(reason: string): void {
  expect(reason).toContain('malformed');
  expect(reason.length).toBeLessThan(MAX_REASON_LENGTH);
}

// Guards against homes that stand still as they open, at one specification of another writer.
it('tells of the first wrong step of a stored job alone', () => {
  const value = encodeRecordValue({ ...makeJob('a'), steps: WRONG_ITEMS });
  expectShort(findReason(() => decodeJobRecord({ key: 'spec/a', value })));
});

// Guards against an instance that stands still for seconds at one request of a peer.
it('tells of the first wrong id of a request of a peer alone', () => {
  const request = { type: 'renew-grants', pool: 'p', grantIds: WRONG_ITEMS };
  expectShort(findReason(() => parsePeerRequest(request)));
});
