import { expect, it } from 'vitest';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { PeerPort, PeerReply } from '../../src/peers/index.js';
import { JobGateway, PoolPartitions } from '../../src/taskHome/index.js';
import { SystemClock } from '../../src/utils/index.js';

const REFUSAL = { type: 'refused', kind: 'home-unavailable', message: 'Not now.' } as const;
const HOME = { instance: 'home', host: '10.0.0.1', port: 7_700 };

/** Asks a home that gives the same reply to every call, until the caller gives up. */
async function ask(reply: PeerReply): Promise<JobGateway> {
  const call: PeerPort['call'] = () => Promise.resolve(reply);
  const gateway = new JobGateway({
    instance: 'entry',
    peers: { call },
    handleLocally: () => Promise.resolve(REFUSAL),
    directory: { get: () => HOME, refresh: () => Promise.resolve() },
    partitions: new PoolPartitions({ partitionCount: 1, listPools: () => ['pages'] }),
    clock: new SystemClock(),
    metrics: new MemoryMetrics(),
  });
  await expect(gateway.getState('pages', 'a')).rejects.toMatchObject({ kind: REFUSAL.kind });
  return gateway;
}

// Guards against partitions that are assigned anew, to small instances, while they are read.
it('does not take a home for silent that is still reading its jobs', async () => {
  expect((await ask({ ...REFUSAL, isHomeLoading: true })).areHomesSilent).toBe(false);
  expect((await ask(REFUSAL)).areHomesSilent).toBe(true);
});
