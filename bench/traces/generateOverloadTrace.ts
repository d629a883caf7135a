import { getDeployment, listPoolNames, listVms, makePoolSettings } from './deployments.js';
import { Draws } from './Draws.js';
import type { DeploymentName, Trace, TraceEvent } from './Trace.js';

const END_MS = 30_000;
const POOL_STRIDE = 7;
const MEDIAN_RUN_MS = 800;
const RUN_SPREAD = 0.4;
const PATIENCE_MS = 5_000;
/** Mean of the run times over their median, for the spread above. */
const MEAN_OVER_MEDIAN = Math.exp(RUN_SPREAD ** 2 / 2);

/**
 * Makes half a minute of load that just fills a pool; replayed faster it is overload.
 * @param name - Which deployment.
 * @param seed - Seed of every draw.
 * @returns The trace.
 */
export function generateOverloadTrace(name: DeploymentName, seed: number): Trace {
  const deployment = getDeployment(name);
  const draws = new Draws(seed);
  const pool = listPoolNames(deployment)[0]!;
  const vms = listVms(deployment)
    .filter((ignored, index) => index % POOL_STRIDE === 0)
    .map((vm) => ({ ...vm, pool }));
  const slotCount = vms.reduce((sum, vm) => sum + vm.slotCount, 0);
  const perS = (slotCount * 1_000) / (MEDIAN_RUN_MS * MEAN_OVER_MEDIAN);
  const behaviour = deployment.kinds.find(({ declared }) => declared.urgency === 'normal')!;
  const quotas = { '*': { slotCount, queuedJobCount: 200, weight: 1 } };
  const events = draws.arrivals(0, END_MS, perS).map((atMs, index): TraceEvent => ({
    type: 'job',
    atMs,
    id: `j${index}`,
    team: draws.pick(deployment.teams),
    kind: behaviour.kind,
    runMs: draws.logNormal(MEDIAN_RUN_MS, RUN_SPREAD),
    memoryMb: behaviour.declared.memoryMb,
    patienceMs: PATIENCE_MS,
  }));
  return {
    head: {
      type: 'trace',
      subject: 'overload',
      deployment: name,
      seed,
      endMs: END_MS,
      pools: [{ pool, settings: makePoolSettings(deployment, slotCount, { quotas }) }],
      vms,
    },
    events,
  };
}
