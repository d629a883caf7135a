import { setTimeout as sleep } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { throwError } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { PeerPort, PeerReply } from '../../src/peers/index.js';
import {
  handleJobRequest,
  JobGateway,
  type JobGatewayOptions,
  PoolPartitions,
} from '../../src/taskHome/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { HomeWorld, makeJob, TERMS } from './HomeWorld.js';

const REFUSAL = { type: 'refused', kind: 'home-unavailable', message: 'Not now.' } as const;
const HOME = { instance: 'home', host: '10.0.0.1', port: 7_700 };
/** How long callers wait for an answer, in milliseconds. */
const CALLER_WAIT_MS = 4_000;
/** Look for the home without an answer of the store and of peers, in milliseconds. */
const SILENT_REFRESH_MS = 1_600;

function createGateway(changes: Partial<JobGatewayOptions>): JobGateway {
  return new JobGateway({
    instance: 'entry',
    peers: { call: () => Promise.resolve(REFUSAL) },
    handleLocally: () => Promise.resolve(REFUSAL),
    directory: { get: () => HOME, refresh: () => Promise.resolve() },
    partitions: new PoolPartitions({ partitionCount: 1, listPools: () => ['pages'] }),
    clock: new SystemClock(),
    metrics: new MemoryMetrics(),
    events: new MemoryEventLog(),
    ...changes,
  });
}

// Guards against callers without an answer, as the home on their own instance waits for the store.
it.each([
  { name: 'submission', call: (gateway: JobGateway) => gateway.submit(makeJob('a')) },
  { name: 'cancel', call: (gateway: JobGateway) => gateway.cancel(TERMS, 'a') },
])(
  'answers a $name in time, as in doubt, while the home on its instance is silent',
  async ({ call }) => {
    const handleLocally = (): Promise<PeerReply> => new Promise(() => {});
    const gateway = createGateway({ instance: HOME.instance, handleLocally });
    const startedAtMs = performance.now();
    await expect(call(gateway)).rejects.toMatchObject({ kind: 'outcome-unknown' });
    expect(performance.now() - startedAtMs).toBeLessThan(CALLER_WAIT_MS);
  },
);

// Guards against callers without an answer, as each look for the home waits for a silent store.
it('answers a question in time while nobody tells where the home is', async () => {
  const refresh = (): Promise<void> => sleep(SILENT_REFRESH_MS);
  const refusals = [REFUSAL, REFUSAL];
  const call: PeerPort['call'] = async (_home, _request, waitMs) => {
    const refusal = refusals.pop();
    if (refusal !== undefined) return refusal;
    await sleep(waitMs);
    return throwError('peer-unavailable', 'The home is silent.');
  };
  const gateway = createGateway({ peers: { call }, directory: { get: () => HOME, refresh } });
  const startedAtMs = performance.now();
  await expect(gateway.getState(TERMS, 'a')).rejects.toMatchObject({ kind: 'peer-unavailable' });
  expect(performance.now() - startedAtMs).toBeLessThan(CALLER_WAIT_MS);
});

// Guards against a job that is lost or runs twice, as its late answer reaches nobody.
it('takes the repeat of a submission in doubt for the same job, and runs it once', async () => {
  const world = new HomeWorld();
  const home = await world.open();
  const handleLocally: JobGatewayOptions['handleLocally'] = (request) =>
    handleJobRequest(home, request);
  const gateway = createGateway({ instance: HOME.instance, handleLocally });
  world.store.faults.isSilent = true;
  await expect(gateway.submit(makeJob('a'))).rejects.toMatchObject({ kind: 'outcome-unknown' });
  world.store.faults.isSilent = false;
  await gateway.submit(makeJob('a'));
  await world.waitForRunning(['a.0.0.0']);
  expect(await gateway.getState(TERMS, 'a')).toBe('running');
  world.close();
  expect(world.targets.violations).toEqual([]);
});
