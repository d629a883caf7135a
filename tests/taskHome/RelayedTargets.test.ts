import { beforeEach, describe, expect, it } from 'vitest';
import { throwError } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { PeerAddress, PeerReply, PeerRequest } from '../../src/peers/index.js';
import { RelayedTargets, relayTargetCall } from '../../src/taskHome/index.js';
import type {
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
} from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';

const CORES = 1;
/** Calls that an instance with these cores makes itself at once. */
const DIRECT_COUNT = 31;
const RELAYS: readonly PeerAddress[] = [
  { instance: 'relay-1', host: '10.0.0.1', port: 1 },
  { instance: 'relay-2', host: '10.0.0.2', port: 1 },
];

const REPORT: LeaseAnswer = {
  type: 'report',
  targetClockMs: 9,
  running: [],
  ended: [],
  hasAllEnds: true,
};

const makeTarget = (number: number): LeasedTargetAddress => ({
  targetId: `t${number}`,
  host: '10.1.0.1',
  port: number,
});

/** Targets that record which instance called which target. */
class CallLog {
  readonly calls: string[] = [];

  /** Instances that give no reply. */
  readonly silent = new Set<string>();

  /** Whether targets leave calls of relays unanswered. */
  isTargetSilent = false;

  createPort(caller: string): LeasedTargetPort {
    const note = async <Answer>(target: LeasedTargetAddress, answer: Answer): Promise<Answer> => {
      if (this.isTargetSilent && caller !== 'home') throwError('target-silent', 'It is silent.');
      this.calls.push(`${caller} ${target.targetId}`);
      return answer;
    };
    return {
      start: (target) => note(target, { type: 'started', targetClockMs: 7 }),
      stop: (target) => note(target, { type: 'accepted' }),
      pace: (target) => note(target, { type: 'accepted' }),
      renew: (target) => note(target, REPORT),
      forget: () => undefined,
    };
  }

  async callPeer(peer: PeerAddress, request: PeerRequest): Promise<PeerReply> {
    if (this.silent.has(peer.instance)) throwError('peer-unavailable', 'No reply.');
    if (request.type !== 'call-target') throw new Error(request.type);
    return relayTargetCall(this.createPort(peer.instance), request);
  }
}

describe('RelayedTargets', () => {
  let log: CallLog;
  let clock: ManualClock;
  let events: MemoryEventLog;
  let targets: RelayedTargets;
  let loadShare: number;

  const stop = (number: number): Promise<unknown> =>
    targets.stop(makeTarget(number), 'a.0.0.0', 1, 3);
  const callers = (): readonly string[] => log.calls.map((call) => call.split(' ')[0]!);

  const open = (coreCount: number): RelayedTargets =>
    new RelayedTargets({
      targets: log.createPort('home'),
      peers: { call: (peer, request) => log.callPeer(peer, request) },
      coreCount,
      listRelays: () => RELAYS,
      clock,
      events,
      loopLoad: { measureShare: () => loadShare },
    });

  const useUpDirectCalls = (): Promise<unknown> =>
    Promise.all(Array.from({ length: DIRECT_COUNT }, (_t, number) => stop(number)));

  beforeEach(async () => {
    log = new CallLog();
    clock = new ManualClock();
    loadShare = 0.1;
    events = new MemoryEventLog();
    targets = open(CORES);
    await useUpDirectCalls();
  });

  // Guards against a home that makes all calls itself under peak load: with 60 targets in a pool,
  // 1,600 starts a second of 0.3 ms each exceed its third of a core. The home falls behind, leases
  // lapse, and jobs are lost.
  it('makes the first calls itself and the others through relays', async () => {
    expect(new Set(callers())).toEqual(new Set(['home']));
    await Promise.all([20, 21, 22, 23, 24, 25, 26, 27].map(stop));
    expect(new Set(callers().slice(DIRECT_COUNT))).toEqual(new Set(['relay-1', 'relay-2']));
  });

  // Guards against a home on a tenth of a core whose calls alone take twice its CPU, so that leases
  // lapse because it cannot renew them in time.
  it('calls only as many targets directly as its CPU allows', async () => {
    targets = open(0.12);
    log.calls.splice(0);
    await Array.from({ length: 10 }, (_t, number) => number).reduce(async (before, number) => {
      await before;
      await stop(number);
    }, Promise.resolve());
    expect(callers().filter((caller) => caller === 'home')).toHaveLength(3);
  });

  it('passes every kind of call and answer on', async () => {
    const target = makeTarget(30);
    const start = { taskName: 'a.0.0.0', run: 1, payload: '', leaseUntilTargetMs: 5, term: 3 };
    expect(await targets.start(target, start)).toEqual({ type: 'started', targetClockMs: 7 });
    expect(await targets.pace(target, 'a.0.0.0', 1, 50, 3)).toEqual({ type: 'accepted' });
    const renewal = { term: 3, acknowledgedEndNumber: 0, waitMs: 0 };
    expect(await targets.renew(target, renewal)).toMatchObject({ type: 'report', ended: [] });
  });

  // Guards against calls that wait for each other on the narrow link of a home, because each
  // carries everything that the platform lists about its target.
  it('sends a relay only the id and address of a target', async () => {
    const requests: PeerRequest[] = [];
    const home = new RelayedTargets({
      targets: log.createPort('home'),
      peers: {
        call: async (_peer, request) => {
          requests.push(request);
          return { type: 'target-answer', answer: { type: 'accepted' } };
        },
      },
      coreCount: 0,
      listRelays: () => RELAYS,
      clock,
      events,
    });
    await home.stop(makeTarget(1), 'a.0.0.0', 1, 3);
    const listed = { ...makeTarget(2), pool: 'pages', rack: 'r1', labels: ['a', 'r1'] };
    await home.stop(listed, 'a.0.0.0', 1, 3);
    expect(requests.map((request) => request.type === 'call-target' && request.target)).toEqual([
      makeTarget(2),
    ]);
  });

  // Guards against targets that count as silent because their relay has lost power: until the group
  // notices, 3 s later, they get no tasks and their leases are not renewed, although the home can
  // reach them.
  it('calls a target itself for a while once its relay gave no reply', async () => {
    log.silent.add('relay-1').add('relay-2');
    await expect(stop(40)).rejects.toThrow('No reply.');
    expect(events.events.map(({ event }) => event)).toContain('relayFailed');
    await stop(40);
    expect(callers().at(-1)).toBe('home');
    log.silent.clear();
    clock.advance(6_000);
    await useUpDirectCalls();
    await stop(40);
    expect(callers().at(-1)).toMatch(/^relay/);
  });

  it('leaves out a relay without a reply for its other targets too', async () => {
    log.silent.add('relay-1').add('relay-2');
    await Promise.allSettled([40, 41, 42, 43, 44, 45].map(stop));
    log.silent.clear();
    log.calls.length = 0;
    await Promise.all([90, 91, 92, 93].map(stop));
    expect(new Set(callers())).toEqual(new Set(['home']));
  });

  it('calls a target itself once its relay got no answer, and reports it as silent', async () => {
    log.isTargetSilent = true;
    await expect(stop(50)).rejects.toMatchObject({ kind: 'target-silent' });
    await stop(50);
    expect(callers().at(-1)).toBe('home');
  });

  // Guards against a home that stops using working relays: when VMs are switched off by the dozen,
  // each is silent for its relay, so that within a second the home uses no relay any more and calls
  // all 60 targets itself.
  it('goes on using a relay whose target has left', async () => {
    log.isTargetSilent = true;
    await Promise.allSettled([70, 71, 72, 73, 74, 75].map(stop));
    log.isTargetSilent = false;
    log.calls.length = 0;
    await Promise.all([80, 81, 82, 83].map(stop));
    expect(callers().every((caller) => caller.startsWith('relay'))).toBe(true);
  });

  // Guards against a home whose own calls to 20 targets fill its two thirds of a core in the load
  // peak of its pool, so that its jobs are late while other instances are idle.
  it('leaves nearly all calls of a load peak to relays, whichever targets they are for', async () => {
    targets = open(0.675);
    log.calls.length = 0;
    await Array.from({ length: 400 }, (_t, number) => number).reduce(async (before, number) => {
      await before;
      clock.advance(2.5);
      await stop(number % 20);
    }, Promise.resolve());
    const directCount = callers().filter((caller) => caller === 'home').length;
    expect(directCount / 400).toBeLessThan(0.3);
    expect(callers()).toHaveLength(400);
  });

  it('leaves all calls to relays while it has no time to spare', async () => {
    targets = open(CORES);
    loadShare = 0.6;
    log.calls.length = 0;
    await stop(1);
    expect(callers()).toEqual([expect.stringMatching(/^relay/)]);
    loadShare = 0.4;
    await stop(1);
    expect(callers().at(-1)).toBe('home');
  });

  // Guards against calls that hang on the failures of relays though the home has time for them.
  it('makes its calls itself outside of load peaks, also to many targets', async () => {
    log.calls.length = 0;
    await Array.from({ length: 60 }, (_t, number) => number).reduce(async (before, number) => {
      await before;
      clock.advance(1_000 / 60);
      await stop(number);
    }, Promise.resolve());
    expect(new Set(callers())).toEqual(new Set(['home']));
  });

  it('makes all calls itself where there is no relay, also without time to spare', async () => {
    loadShare = 0.9;
    targets = new RelayedTargets({
      targets: log.createPort('home'),
      peers: { call: (peer, request) => log.callPeer(peer, request) },
      coreCount: 0.12,
      listRelays: () => [],
      clock,
      events,
      loopLoad: { measureShare: () => loadShare },
    });
    log.calls.length = 0;
    await useUpDirectCalls();
    expect(new Set(callers())).toEqual(new Set(['home']));
  });
});
