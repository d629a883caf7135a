import { expect, it, vi } from 'vitest';
import { ConcurrencyLimit } from '../../src/utils/index.js';

/** An action that runs until the test ends it. */
function createAction(): {
  readonly action: () => Promise<void>;
  end: () => void;
  hasBegun: boolean;
} {
  const state = {
    hasBegun: false,
    end: (): void => undefined,
    action: (): Promise<void> => {
      state.hasBegun = true;
      return new Promise((resolve) => {
        state.end = resolve;
      });
    },
  };
  return state;
}

it('runs at most the given number of actions at a time, in the order of the calls', async () => {
  const limit = new ConcurrencyLimit(2);
  const actions = [createAction(), createAction(), createAction(), createAction()];
  const results = actions.map(({ action }) => limit.run(action));
  await Promise.resolve();
  expect(actions.map(({ hasBegun }) => hasBegun)).toEqual([true, true, false, false]);
  actions[1]!.end();
  await results[1];
  await vi.waitFor(() => expect(actions[2]!.hasBegun).toBe(true));
  expect(actions[3]!.hasBegun).toBe(false);
});

it('lets the next action begin after one that failed', async () => {
  const limit = new ConcurrencyLimit(1);
  const failed = limit.run(() => Promise.reject(new Error('lost')));
  const next = limit.run(() => Promise.resolve('read'));
  await expect(failed).rejects.toThrow('lost');
  expect(await next).toBe('read');
});
