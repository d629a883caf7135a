import type { WaveStepRow } from '../tables/index.js';

/** Progress of a wave, in one pool or over all pools. */
export interface WaveProgress {
  readonly maintainedVmCount: number;
  readonly failedVmCount: number;
  readonly inProgressVmCount: number;
}

/** Progress of a wave without steps. */
export const NO_PROGRESS: WaveProgress = {
  maintainedVmCount: 0,
  failedVmCount: 0,
  inProgressVmCount: 0,
};

/**
 * Counts the steps of each wave by state.
 * @param steps - Steps of any number of waves and pools.
 * @returns Progress by wave.
 */
export function summariseWaves(steps: readonly WaveStepRow[]): ReadonlyMap<string, WaveProgress> {
  const progress = new Map<string, WaveProgress>();
  steps.forEach((step) => {
    const before = progress.get(step.wave) ?? NO_PROGRESS;
    progress.set(step.wave, {
      maintainedVmCount: before.maintainedVmCount + Number(step.state === 'maintained'),
      failedVmCount: before.failedVmCount + Number(step.state === 'failed'),
      inProgressVmCount: before.inProgressVmCount + Number(step.state === 'intended'),
    });
  });
  return progress;
}
