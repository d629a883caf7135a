import { setFlagsFromString } from 'node:v8';

/** Processor below which the optimizer is held back, in cores. */
const SMALL_CORE_COUNT = 0.25;
/** Eight times the work after which the engine optimizes a function by default. */
const BUDGET_FLAG = '--interrupt-budget=1000000';

/**
 * Lets the engine optimize a function only once it has run for longer, on a small instance.
 *
 * Guards against a home on a tenth of a core that serves little after each start: the optimizer
 * takes half of that in its first rush. On a larger one it pays from the start.
 * @param coreCount - Processor that this instance may use, in cores.
 * @param setFlag - Sets a flag of the engine.
 */
export function holdBackOptimizer(
  coreCount: number,
  setFlag: (flag: string) => void = setFlagsFromString,
): void {
  if (coreCount < SMALL_CORE_COUNT) setFlag(BUDGET_FLAG);
}
