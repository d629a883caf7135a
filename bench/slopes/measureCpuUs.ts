import { readUsedUs } from './readUsedUs.js';

/** Processor time that a measurement takes at least, in microseconds. */
const MIN_SPAN_US = 200_000;
const MAX_CALL_COUNT = 200_000;
const WARM_UP_COUNT = 20;

/**
 * Measures the processor time of an act.
 * @param act - What is measured; it must cost the same each time.
 * @returns Microseconds for one call, as a mean over enough calls.
 */
export function measureCpuUs(act: () => void): number {
  Array.from({ length: WARM_UP_COUNT }).forEach(act);
  const startUs = readUsedUs();
  let callCount = 0;
  while (readUsedUs() - startUs < MIN_SPAN_US && callCount < MAX_CALL_COUNT) {
    act();
    callCount += 1;
  }
  return (readUsedUs() - startUs) / callCount;
}
