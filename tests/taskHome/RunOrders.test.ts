import { describe, expect, it } from 'vitest';
import { createOrders } from './createOrders.js';

const KEY = { taskName: 'a.0.0.0', run: 2, targetId: 't2' };

describe('the order for a task', () => {
  // Guards against a start whose placement is not stored, as its round has stored an earlier one.
  it.each([
    { ...KEY, run: 1 },
    { ...KEY, targetId: 't1' },
  ])('is not started for run $run on $targetId', (other) => {
    const { orders, port } = createOrders();
    orders.reserve(other);
    orders.reserve(KEY);
    orders.start(other);
    expect(port.start).not.toHaveBeenCalled();
    expect(orders.isUnsent('a.0.0.0')).toBe(true);
    orders.start(KEY);
    expect(port.start).toHaveBeenCalledOnce();
  });
});
