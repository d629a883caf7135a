import { expect, it } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { StartAnswer } from '../../src/targets/index.js';
import { RunConfirmations } from '../../src/taskHome/RunConfirmations.js';

const BEGUN = { taskName: 'a.0.0.0', run: 1, targetId: 't1', isSent: true, isRunning: true };
const START = { ...BEGUN, payload: '', leaseUntilTargetMs: 9, term: 1 };

// Guards against a confirmation that fails without a trace, as nobody listens at the target.
it('logs a repeat of a start that reaches nobody', async () => {
  const events = new MemoryEventLog();
  const start = async (): Promise<StartAnswer> => ({ type: 'unreachable' });
  const confirmations = new RunConfirmations({
    port: { start } as never,
    events,
    term: 1,
    createStart: () => START,
    getAddress: () => ({ targetId: 't1', host: '10.0.0.1', port: 1 }),
    onClock: () => undefined,
    find: () => ({ ...BEGUN, begunAtMs: 0 }),
    isReachable: () => true,
    onConfirmed: () => undefined,
  });
  await confirmations.confirmAfterDelay('a.0.0.0');
  expect(events.events.map(({ event }) => event)).toEqual(['startUnanswered']);
});
