import { expect, it, vi } from 'vitest';
import { holdBackOptimizer } from '../../src/utils/index.js';

// Guards against small homes whose optimizer takes the processor of a rush, and against larger ones
// that run slow code for long.
it('holds the optimizer back on small instances alone', () => {
  const setFlag = vi.fn();
  [0.324, 0.675, 1.35].forEach((coreCount) => holdBackOptimizer(coreCount, setFlag));
  expect(setFlag).not.toHaveBeenCalled();
  holdBackOptimizer(0.12, setFlag);
  expect(setFlag).toHaveBeenCalledExactlyOnceWith('--interrupt-budget=1000000');
});
