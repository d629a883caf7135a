import type { JobOutcome } from '../model/JobOutcome.js';
import { LEAST_LOADED, OURS } from '../policies/placementPolicies.js';
import type { PlacementPolicy } from '../policies/PlacementPolicy.js';
import type { BenchColumn, BenchRow, BenchTable } from '../report/BenchTable.js';
import type { BenchSubject } from '../report/BenchSubject.js';
import { generateOverloadTrace, type Trace } from '../traces/index.js';
import { replayPlacement } from './measurePlacement.js';
import { percentile, sum } from './statistics.js';

/** Loads, in multiples of what the pool can just carry. */
const LOAD_FACTORS: readonly number[] = [0.5, 1, 1.5, 2, 3];
const POLICIES: readonly PlacementPolicy[] = [OURS, LEAST_LOADED];

/**
 * Replays a trace faster or slower.
 * @param trace - The trace.
 * @param factor - How many times as many arrivals a second.
 * @returns The trace with its times changed, the jobs as they were.
 */
export function speedUp(trace: Trace, factor: number): Trace {
  return {
    head: { ...trace.head, endMs: trace.head.endMs / factor },
    events: trace.events.map((event) => ({ ...event, atMs: event.atMs / factor })),
  };
}

/** Jobs that a pool could at best finish a second. */
function capacityPerS(trace: Trace): number {
  const slotCount = sum(trace.head.vms.map((vm) => vm.slotCount));
  const runMs = trace.events.flatMap((event) => (event.type === 'job' ? [event.runMs] : []));
  return (slotCount * 1_000 * runMs.length) / sum(runMs);
}

/**
 * Computes the figures of one overload run.
 * @param outcome - What became of every job.
 * @returns Figures by column.
 */
export function overloadFigures(outcome: JobOutcome): Readonly<Record<string, number>> {
  const { results, endMs } = outcome;
  const refused = results.filter(({ end }) => end === 'refused');
  const answered = results.filter(({ end }) => end === 'run');
  const waitMs = (list: typeof results): readonly number[] =>
    list.map(({ arrivedAtMs, endedAtMs }) => endedAtMs - arrivedAtMs);
  return {
    goodputPerS: answered.length / (endMs / 1_000),
    answerP99Ms: percentile(waitMs(answered), 99),
    refusalP50Ms: percentile(waitMs(refused), 50),
    refusalP99Ms: percentile(waitMs(refused), 99),
    refused: refused.length,
    expired: results.filter(({ end }) => end === 'expired').length,
  };
}

/** Columns of one load. */
function columnsOf(trace: Trace, factor: number): readonly BenchColumn[] {
  return [
    {
      key: 'goodputPerS',
      label: 'goodput',
      unit: '1/s',
      better: 'higher',
      bound: capacityPerS(trace) * Math.min(1, factor),
    },
    { key: 'answerP99Ms', label: 'answer p99', unit: 'ms', better: 'lower' },
    { key: 'refusalP50Ms', label: 'refusal p50', unit: 'ms', better: 'lower', bound: 0 },
    { key: 'refusalP99Ms', label: 'refusal p99', unit: 'ms', better: 'lower', bound: 0 },
    { key: 'refused', label: 'refused', unit: 'jobs', better: 'lower' },
    { key: 'expired', label: 'never answered', unit: 'jobs', better: 'lower', bound: 0 },
  ];
}

/**
 * Measures overload: goodput and the time to a final answer from half to three times capacity.
 * @param options - Deployment and seed.
 * @returns A table for each load.
 */
export const measureOverload: BenchSubject = ({ deployment, seed }) => {
  const trace = generateOverloadTrace(deployment, seed);
  return LOAD_FACTORS.map((factor): BenchTable => {
    const rows = POLICIES.map((policy): BenchRow => {
      const outcome = replayPlacement(speedUp(trace, factor), policy);
      return {
        policy: policy.name,
        figures: overloadFigures(outcome),
        brokenPromiseCount: outcome.brokenPromises.length,
        brokenPromises: outcome.brokenPromises,
      };
    });
    return {
      subject: 'overload',
      deployment,
      seed,
      title: `${factor} times what the pool can carry`,
      columns: columnsOf(trace, factor),
      rows,
    };
  });
};
