import {
  getDeployment,
  type KindBehaviour,
  listPoolNames,
  listVms,
  makePoolSettings,
} from './deployments.js';
import { Draws } from './Draws.js';
import type { DeploymentName, Trace, TraceEvent, TraceHead, TraceJob } from './Trace.js';

const END_MS = 600_000;
/** Every fifth VM: the pool's share of a deployment with five services. */
const POOL_STRIDE = 5;
const NEEDED_SLOT_COUNT = 48;
const RUN_SPREAD = 0.5;
const MEMORY_SPREAD = 0.15;
/** Share of the jobs that belong to the largest team. */
const LARGE_TEAM_SHARE = 0.6;
const POISON_PROBABILITY = 0.005;
/** When a VM begins to fail all that it starts, and when it is repaired. */
const BAD_VM_SPAN_MS = { from: 90_000, to: 330_000 } as const;
const LOST_RACK_SPAN_MS = { from: 200_000, to: 290_000 } as const;
/** When urgent work comes in a burst, and how much more of it. */
const BURST_SPAN_MS = { from: 420_000, to: 440_000 } as const;
const BURST_FACTOR = 3;
/** When the largest team cancels jobs, and how many of the latest. */
const CANCEL_AT_MS = 500_000;
const CANCEL_COUNT = 80;

/** Draws the jobs of a kind. */
function drawJobs(
  draws: Draws,
  behaviour: KindBehaviour,
  teams: readonly string[],
): readonly TraceJob[] {
  const batch: readonly number[] = Array.from({ length: behaviour.batchCount }, () => 0);
  const isUrgent = behaviour.declared.urgency === 'urgent';
  const { from, to } = BURST_SPAN_MS;
  const burst = isUrgent ? draws.arrivals(from, to, behaviour.perS * BURST_FACTOR) : [];
  const times = [...batch, ...draws.arrivals(0, END_MS, behaviour.perS), ...burst];
  return times.map((atMs, index) => ({
    type: 'job',
    atMs,
    id: `${behaviour.kind}-${index}`,
    team: draws.chance(LARGE_TEAM_SHARE) ? teams[0]! : draws.pick(teams.slice(1)),
    kind: behaviour.kind,
    runMs: draws.logNormal(behaviour.medianRunMs, RUN_SPREAD),
    memoryMb: draws.logNormal(behaviour.medianMemoryMb, MEMORY_SPREAD),
    patienceMs: behaviour.patienceMs,
    ...(draws.chance(POISON_PROBABILITY) ? { poison: true } : {}),
  }));
}

/** Picks jobs that their caller cancels at once. */
function drawCancellations(jobs: readonly TraceJob[], team: string): readonly TraceEvent[] {
  return jobs
    .filter((job) => job.team === team && job.atMs < CANCEL_AT_MS && job.kind !== 'page-save')
    .sort((left, right) => right.atMs - left.atMs)
    .slice(0, CANCEL_COUNT)
    .map(({ id }) => ({ type: 'cancel', atMs: CANCEL_AT_MS, id }));
}

/**
 * Makes ten minutes of one busy pool: declarations that are far off, a team larger than all others
 * together, jobs that can never run, a VM that fails everything, a rack that is lost, a burst of
 * urgent work and a wave of cancellations.
 * @param name - Which deployment.
 * @param seed - Seed of every draw.
 * @returns The trace.
 */
export function generatePlacementTrace(name: DeploymentName, seed: number): Trace {
  const deployment = getDeployment(name);
  const draws = new Draws(seed);
  const pool = listPoolNames(deployment)[0]!;
  const vms = listVms(deployment)
    .filter((ignored, index) => index % POOL_STRIDE === 0)
    .map((vm) => ({ ...vm, pool }));
  const quotas = { '*': { slotCount: 40, queuedJobCount: 400, weight: 1 } };
  const settings = makePoolSettings(deployment, NEEDED_SLOT_COUNT, { quotas });
  const jobs = deployment.kinds.flatMap((kind) => drawJobs(draws, kind, deployment.teams));
  const badVm = draws.pick(vms).vm;
  const { rack } = draws.pick(vms);
  const rackVms = vms.filter((vm) => vm.rack === rack).map(({ vm }) => vm);
  const faults: readonly TraceEvent[] = [
    { type: 'vm-bad', atMs: BAD_VM_SPAN_MS.from, vm: badVm },
    { type: 'vm-good', atMs: BAD_VM_SPAN_MS.to, vm: badVm },
    ...rackVms.flatMap((vm): readonly TraceEvent[] => [
      { type: 'vm-lost', atMs: LOST_RACK_SPAN_MS.from, vm },
      { type: 'vm-back', atMs: LOST_RACK_SPAN_MS.to, vm },
    ]),
  ];
  const head: TraceHead = {
    type: 'trace',
    subject: 'placement',
    deployment: name,
    seed,
    endMs: END_MS,
    pools: [{ pool, settings }],
    vms,
  };
  const events = [...jobs, ...faults, ...drawCancellations(jobs, deployment.teams[0]!)];
  return { head, events: events.sort((left, right) => left.atMs - right.atMs) };
}
