import { vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { TaskOrders } from '../../src/taskHome/TaskOrders.js';
import type { CommandAnswer, StartAnswer } from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';

/**
 * Creates orders for targets that answer each call.
 * @param answer - Their answer to a start.
 * @returns The orders, the calls to the targets, and the callback for a refusal.
 */
export function createOrders(answer: StartAnswer = { type: 'started', targetClockMs: 0 }) {
  const port = {
    start: vi.fn(async () => answer),
    stop: vi.fn(async (): Promise<CommandAnswer> => ({ type: 'accepted' })),
  };
  const onRefused = vi.fn();
  const orders = new TaskOrders({
    port,
    term: 3,
    events: new MemoryEventLog(),
    getAddress: (targetId) => ({ targetId, host: '10.0.0.1', port: 80 }),
    createStart: ({ taskName, run }) => ({
      taskName,
      run,
      payload: 'payload',
      leaseUntilTargetMs: 1_000,
      term: 3,
    }),
    onClock: () => undefined,
    clock: new ManualClock(),
    isGroupLeaseHeld: () => true,
    refusesStarts: () => false,
    onBegun: () => undefined,
    onStarted: () => undefined,
    onWithdrawn: () => undefined,
    onRefused,
    onNeverBegins: () => undefined,
    onVanished: () => undefined,
    onOtherLifetime: () => undefined,
    onStaleTerm: () => undefined,
  });
  return { orders, port, onRefused };
}
