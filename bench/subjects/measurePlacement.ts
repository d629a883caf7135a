import { SeededRng } from '../../src/utils/index.js';
import { JobModel } from '../model/JobModel.js';
import type { JobOutcome, JobResult } from '../model/JobOutcome.js';
import { LEAST_LOADED, OURS, RANDOM, TWO_CHOICES } from '../policies/placementPolicies.js';
import type { PlacementPolicy } from '../policies/PlacementPolicy.js';
import type { BenchColumn, BenchRow, BenchTable } from '../report/BenchTable.js';
import type { BenchSubject } from '../report/BenchSubject.js';
import { generatePlacementTrace, type Trace } from '../traces/index.js';
import { percentile, sum } from './statistics.js';

const POLICIES: readonly PlacementPolicy[] = [OURS, RANDOM, LEAST_LOADED, TWO_CHOICES];

/** Delays from arrival to first start; a job that never started counts until its end. */
function startDelaysMs(results: readonly JobResult[]): readonly number[] {
  return results
    .filter(({ end }) => end !== 'cancelled')
    .map(({ arrivedAtMs, startedAtMs, endedAtMs }) => (startedAtMs ?? endedAtMs) - arrivedAtMs);
}

/** Share of the slot time that jobs could at best have used. */
function bestUtilisation(trace: Trace, availableSlotMs: number): number {
  const { endMs } = trace.head;
  const cancelledAtMs = new Map(
    trace.events.flatMap((event) =>
      event.type === 'cancel' ? [[event.id, event.atMs] as const] : [],
    ),
  );
  const offeredMs = trace.events.map((event) =>
    event.type === 'job' && event.poison !== true
      ? Math.min(event.runMs, (cancelledAtMs.get(event.id) ?? endMs) - event.atMs)
      : 0,
  );
  return Math.min(1, sum(offeredMs) / availableSlotMs);
}

/** Smallest share of answered daytime jobs that any team got, among jobs that could run. */
function worstTeamShare(results: readonly JobResult[]): number {
  const judged = results.filter(
    ({ end, urgency }) => urgency !== 'overnight' && end !== 'cancelled' && end !== 'open',
  );
  const teams = [...new Set(judged.map(({ team }) => team))];
  const shares = teams.map((team) => {
    const own = judged.filter((result) => result.team === team);
    return own.filter(({ end }) => end === 'run').length / own.length;
  });
  return Math.min(...shares);
}

/**
 * Computes the figures of one placement run.
 * @param outcome - What became of every job.
 * @returns Figures by column.
 */
export function placementFigures(outcome: JobOutcome): Readonly<Record<string, number>> {
  const { results } = outcome;
  const countEnd = (...ends: readonly string[]): number =>
    results.filter(({ end }) => ends.includes(end)).length;
  const ofUrgency = (urgency: string): readonly JobResult[] =>
    results.filter((result) => result.urgency === urgency);
  return {
    overfilledStarts: outcome.overfilledStartCount,
    badVmStarts: outcome.badVmStartCount,
    urgentStartP99Ms: percentile(startDelaysMs(ofUrgency('urgent')), 99),
    normalStartP99Ms: percentile(startDelaysMs(ofUrgency('normal')), 99),
    overnightStartMaxMs: percentile(startDelaysMs(ofUrgency('overnight')), 100),
    worstTeamShare: worstTeamShare(results),
    utilisation: outcome.usefulSlotMs / outcome.availableSlotMs,
    run: countEnd('run'),
    failed: countEnd('failed'),
    refusedOrExpired: countEnd('refused', 'expired'),
  };
}

/** Columns with the bounds that the trace sets. */
function columnsOf(trace: Trace, availableSlotMs: number): readonly BenchColumn[] {
  const count = (test: (event: Trace['events'][number]) => boolean): number =>
    trace.events.filter(test).length;
  const poisonCount = count((event) => event.type === 'job' && event.poison === true);
  return [
    { key: 'overfilledStarts', label: 'starts beyond memory', unit: '', better: 'lower', bound: 0 },
    { key: 'badVmStarts', label: 'starts on bad VM', unit: '', better: 'lower', bound: 0 },
    { key: 'urgentStartP99Ms', label: 'urgent start p99', unit: 'ms', better: 'lower', bound: 0 },
    { key: 'normalStartP99Ms', label: 'normal start p99', unit: 'ms', better: 'lower', bound: 0 },
    { key: 'overnightStartMaxMs', label: 'overnight start max', unit: 'ms', better: 'lower' },
    { key: 'worstTeamShare', label: 'worst team served', unit: '', better: 'higher', bound: 1 },
    {
      key: 'utilisation',
      label: 'useful slot time',
      unit: '',
      better: 'higher',
      bound: bestUtilisation(trace, availableSlotMs),
    },
    { key: 'run', label: 'run', unit: 'jobs', better: 'higher' },
    { key: 'failed', label: 'failed', unit: 'jobs', better: 'lower', bound: poisonCount },
    { key: 'refusedOrExpired', label: 'refused or expired', unit: 'jobs', better: 'lower' },
  ];
}

/**
 * Replays a placement trace under one policy.
 * @param trace - The trace.
 * @param policy - The policy.
 * @returns What became of every job.
 */
export function replayPlacement(trace: Trace, policy: PlacementPolicy): JobOutcome {
  return new JobModel({ trace, policy, rng: new SeededRng(trace.head.seed) }).run();
}

/**
 * Measures placement: ours beside random, least loaded and two choices on the same trace.
 * @param options - Deployment and seed.
 * @returns One table.
 */
export const measurePlacement: BenchSubject = ({ deployment, seed }) => {
  const trace = generatePlacementTrace(deployment, seed);
  const outcomes = POLICIES.map((policy) => ({ policy, outcome: replayPlacement(trace, policy) }));
  const rows = outcomes.map(({ policy, outcome }): BenchRow => ({
    policy: policy.name,
    figures: placementFigures(outcome),
    brokenPromiseCount: outcome.brokenPromises.length,
    brokenPromises: outcome.brokenPromises,
  }));
  const table: BenchTable = {
    subject: 'placement',
    deployment,
    seed,
    title: 'ten minutes of one busy pool with faults, a burst and cancellations',
    columns: columnsOf(trace, outcomes[0]!.outcome.availableSlotMs),
    rows,
  };
  return [table];
};
