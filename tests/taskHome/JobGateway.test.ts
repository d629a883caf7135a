import { describe, expect, it } from 'vitest';
import { type EventFields, type KeptEvent, MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { PeerAddress, PeerPort, PeerReply } from '../../src/peers/index.js';
import { throwError } from '../../src/errors/index.js';
import { JobGateway, PoolPartitions } from '../../src/taskHome/index.js';
import { type Clock, ManualClock, SystemClock } from '../../src/utils/index.js';
import { makeJob, TERMS } from './HomeWorld.js';

const REFUSAL = { type: 'refused', kind: 'home-unavailable', message: 'Not now.' } as const;
const HOME = { instance: 'home', host: '10.0.0.1', port: 7_700 };

/** Creates the gateway of an entry whose calls to peers and directory are given. */
function createGateway(
  call: PeerPort['call'],
  {
    getHome = () => HOME,
    clock = new SystemClock(),
    events = new MemoryEventLog(),
  }: {
    readonly getHome?: () => PeerAddress | undefined;
    readonly clock?: Clock;
    readonly events?: MemoryEventLog;
  } = {},
): JobGateway {
  return new JobGateway({
    instance: 'entry',
    peers: { call },
    handleLocally: () => Promise.resolve(REFUSAL),
    directory: { get: getHome, refresh: () => Promise.resolve() },
    partitions: new PoolPartitions({ partitionCount: 1, listPools: () => ['pages'] }),
    clock,
    metrics: new MemoryMetrics(),
    events,
  });
}

/** Submits a job to a home that gives the replies in turn; undefined is none. */
function submit(replies: readonly (PeerReply | undefined)[], clock: Clock): Promise<void> {
  const left = [...replies];
  const call: PeerPort['call'] = async () =>
    left.shift() ?? throwError('peer-unavailable', 'No reply.');
  return createGateway(call, { clock }).submit(makeJob('a'));
}

/** Asks a home that gives the same reply to every call, until the caller gives up. */
async function ask(
  reply: PeerReply,
  events = new MemoryEventLog(),
  getHome: () => PeerAddress | undefined = () => HOME,
): Promise<JobGateway> {
  const call: PeerPort['call'] = () => Promise.resolve(reply);
  const gateway = createGateway(call, { getHome, events });
  await expect(gateway.getState(TERMS, 'a')).rejects.toMatchObject({ kind: REFUSAL.kind });
  return gateway;
}

// Guards against partitions that are assigned anew, to small instances, while they are read.
it('does not take a home for silent that is still reading its jobs', async () => {
  expect((await ask({ ...REFUSAL, isHomeLoading: true })).areHomesSilent).toBe(false);
  expect((await ask(REFUSAL)).areHomesSilent).toBe(true);
});

describe('the log of a call without a reply', () => {
  const LOADING = { ...REFUSAL, isHomeLoading: true };
  const ENTRY = { ...HOME, instance: 'entry' };

  it.concurrent.each([
    ['loadingMs', LOADING, HOME, HOME.instance],
    ['refusedMs', REFUSAL, HOME, HOME.instance],
    ['refusedMs', REFUSAL, ENTRY, ENTRY.instance],
    ['noHomeMs', REFUSAL, undefined, undefined],
  ])('shows %s as what it has waited for', async (waited, reply, known, home) => {
    const events = new MemoryEventLog();
    await ask(reply, events, () => known);
    const [{ event, fields }] = events.events as [KeptEvent];
    expect(event).toBe('homeCallWaited');
    const call = { call: 'get-durable-job', pool: 'pages', partition: 0, jobId: 'a' };
    expect(fields).toMatchObject({ ...call, home, isReplied: false });
    const { loadingMs, refusedMs, noHomeMs, unansweredMs } = fields;
    const waits: EventFields = { loadingMs, refusedMs, noHomeMs, unansweredMs };
    const long = Object.keys(waits).filter((name) => Number(waits[name]) > 0);
    expect(long).toEqual([waited]);
    expect(fields.attemptCount).toBeGreaterThan(1);
  });
});

describe('a refusal for too much load', () => {
  const TOO_MUCH = { type: 'refused', kind: 'no-capacity', message: 'Too much work.' } as const;

  it('tells when to come back, by the clock of the entry', async () => {
    const clock = new ManualClock(50_000);
    const refused = submit([{ ...TOO_MUCH, retryAfterMs: 7_000 }], clock);
    await expect(refused).rejects.toMatchObject({ kind: 'no-capacity', retryAtMs: 57_000 });
  });

  // Failure: the answer to a first attempt that stored the job is lost, the next one is refused,
  // and the caller is told that the job never runs.
  it('leaves the outcome unknown after an attempt without a reply', async () => {
    const refused = submit([undefined, { ...TOO_MUCH, retryAfterMs: 7_000 }], new SystemClock());
    await expect(refused).rejects.toMatchObject({ kind: 'outcome-unknown', retryAtMs: undefined });
  });
});

// Guards against a job that ends each instance that becomes its home, as its entry sends it again.
it('sends a submission to at most two homes that do not reply, and tells that it is in doubt', async () => {
  const called: string[] = [];
  const homes = ['first', 'second', 'third', 'fourth'];
  const call: PeerPort['call'] = async ({ instance }) => {
    called.push(instance);
    homes.shift();
    return throwError('peer-unavailable', 'No reply.');
  };
  const gateway = createGateway(call, { getHome: () => ({ ...HOME, instance: homes[0]! }) });
  await expect(gateway.submit(makeJob('a'))).rejects.toMatchObject({ kind: 'outcome-unknown' });
  expect(called).toEqual(['first', 'second']);
});
