import { describe, expect, it } from 'vitest';
import { GrantRequester } from '../../src/entry/GrantRequester.js';
import { RattanliftError } from '../../src/errors/index.js';
import type { PeerReply, PeerRequest } from '../../src/peers/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeJob } from './makeJob.js';

const DEADLINE_MS = 3_000;
const GRACE_MS = 500;

const JOB = makeJob({ deadlineAtMs: DEADLINE_MS });

function setUp(answer: (request: PeerRequest) => Promise<PeerReply>) {
  const sentRequests: { readonly type: string; readonly waitMs: number }[] = [];
  const caller = new AbortController();
  const requester = new GrantRequester({
    job: JOB,
    clock: new ManualClock(),
    signal: caller.signal,
    router: {
      call: (_pool, request, waitMs) => {
        sentRequests.push({ type: request.type, waitMs });
        return answer(request);
      },
    },
  });
  return { asker: requester, asked: sentRequests, caller };
}

describe('GrantRequester', () => {
  it('withdraws a request at once where its job ends meanwhile, and not later', async () => {
    let reply: (reply: PeerReply) => void = () => undefined;
    const held = new Promise<PeerReply>((resolve) => {
      reply = resolve;
    });
    const { asker, asked, caller } = setUp(({ type }) =>
      type === 'request-grant' ? held : Promise.reject(new Error('No home.')),
    );
    const asking = asker.requestGrant('a1', []);
    caller.abort();
    expect(asked).toEqual([
      { type: 'request-grant', waitMs: DEADLINE_MS + GRACE_MS },
      { type: 'cancel-request', waitMs: GRACE_MS },
    ]);
    reply({ type: 'done' });
    expect(await asking).toEqual({ type: 'done' });
  });

  it('does not withdraw the request of an attempt that has ended', async () => {
    const { asker, asked, caller } = setUp(() => Promise.resolve({ type: 'done' }));
    await asker.requestGrant('a1', []);
    caller.abort();
    expect(asked.map(({ type }) => type)).toEqual(['request-grant']);
  });

  it('tells why there is no reply', async () => {
    const { asker } = setUp(() => Promise.reject(new Error('No home.')));
    const reply = await asker.requestGrant('a1', []);
    expect(reply).toBeInstanceOf(RattanliftError);
    expect(reply).toMatchObject({ kind: 'home-unavailable' });
  });
});
