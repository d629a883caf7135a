import { describe, expect, it } from 'vitest';
import { ExplainLog } from '../../src/home/index.js';
import { refuse } from '../../src/home/Refusal.js';
import { WaitingRequests } from '../../src/home/WaitingRequests.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { GrantRequest } from '../../src/peers/index.js';
import { ManualClock } from '../../src/utils/index.js';

const makeWaiting = (attemptId: string) => ({
  entry: 'entry-1',
  request: { attemptId, requestId: attemptId, pool: 'team/pool' } as GrantRequest,
  enteredAtMs: 0,
});

function setUp() {
  const events = new MemoryEventLog();
  const explainLog = new ExplainLog({ clock: new ManualClock() });
  return { events, waiting: new WaitingRequests({ events, explainLog }) };
}

const REFUSAL = refuse('quota-exceeded', 'The team has all its slots.');

describe('WaitingRequests', () => {
  it('answers a request once', async () => {
    const { waiting } = setUp();
    const reply = waiting.add(makeWaiting('a1'));
    waiting.answer('a1', { type: 'done' });
    waiting.answer('a1', REFUSAL);
    expect(await reply).toEqual({ type: 'done' });
    expect(waiting.has('a1')).toBe(false);
  });

  it('answers all waiting requests', async () => {
    const { waiting } = setUp();
    const replies = ['a1', 'a2'].map((attemptId) => waiting.add(makeWaiting(attemptId)));
    waiting.answerAll(REFUSAL);
    expect(await Promise.all(replies)).toEqual([REFUSAL, REFUSAL]);
  });

  it('reports a refusal only if the request still waits', async () => {
    const { waiting, events } = setUp();
    const reply = waiting.add(makeWaiting('a1'));
    waiting.refuse('a1', REFUSAL);
    waiting.refuse('a1', REFUSAL);
    expect(await reply).toEqual(REFUSAL);
    expect(events.events.map(({ event }) => event)).toEqual(['jobRefused']);
  });
});
