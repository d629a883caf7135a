import { describe, expect, it } from 'vitest';
import { measureCall, MemoryMetrics } from '../../src/metrics/index.js';
import { ManualClock } from '../../src/utils/index.js';

function createBase() {
  const clock = new ManualClock();
  const metrics = new MemoryMetrics();
  return { clock, metrics, timer: 'vm_call_ms', call: 'list' } as const;
}

describe('measureCall', () => {
  it('records how long an answer took, and what it was', async () => {
    const base = createBase();
    const run = async (): Promise<string> => {
      base.clock.advance(25);
      return 'busy';
    };
    expect(await measureCall({ ...base, run, describe: (answer) => answer })).toBe('busy');
    const tags = { call: 'list', result: 'busy' };
    expect(base.metrics.measurements).toEqual([{ name: 'vm_call_ms', value: 25, tags }]);
  });

  it('records a failure and passes it on', async () => {
    const base = createBase();
    const run = (): Promise<string> => Promise.reject(new Error('reset'));
    await expect(measureCall({ ...base, run })).rejects.toThrow('reset');
    const tags = { call: 'list', result: 'failed' };
    expect(base.metrics.measurements).toEqual([{ name: 'vm_call_ms', value: 0, tags }]);
  });
});
