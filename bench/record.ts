import { writeFileSync } from 'node:fs';
import type { ExpectedOutcome } from './ExpectedOutcome.js';
import { replayTrace } from './replayTrace.js';
import {
  type DeploymentName,
  generateBufferTrace,
  generateOverloadTrace,
  generatePlacementTrace,
  generateWaveTrace,
  type Trace,
  type TraceSubject,
  writeTrace,
} from './traces/index.js';

const SEED = 1;
const DIRECTORY = 'traces';
/** Figures of each subject that are stated exactly. */
const EXACT_FIGURES: Readonly<Record<TraceSubject, readonly string[]>> = {
  placement: ['run', 'failed', 'refusedOrExpired', 'badVmStarts', 'overfilledStarts'],
  waves: ['overBudgetSteps', 'steppedVms', 'moves', 'belowNeededMinutes', 'brokenVms'],
  buffers: ['moves', 'fleetVms'],
  overload: ['refused', 'expired'],
};
/** Limits that a subject must keep on any trace. */
const LIMITS: Readonly<Record<TraceSubject, Pick<ExpectedOutcome, 'atMost' | 'atLeast'>>> = {
  placement: { atMost: { urgentStartP99Ms: 4_000 }, atLeast: { worstTeamShare: 0.95 } },
  waves: { atMost: { brokenVms: 3 }, atLeast: {} },
  buffers: { atMost: { bufferCost: 0.3, belowNeededMinutes: 2 }, atLeast: {} },
  overload: { atMost: { refusalP50Ms: 1_000 }, atLeast: { goodputPerS: 40 } },
};

/** Records a trace with the outcome that its replay gives now. */
function record(name: string, trace: Trace): void {
  const { subject } = trace.head;
  const { figures, brokenPromises } = replayTrace(trace);
  const exactly = Object.fromEntries(EXACT_FIGURES[subject].map((key) => [key, figures[key]]));
  const expected = { brokenPromiseCount: brokenPromises.length, exactly, ...LIMITS[subject] };
  writeTrace(`${DIRECTORY}/${name}.jsonl`, trace);
  writeFileSync(`${DIRECTORY}/${name}.expected.json`, `${JSON.stringify(expected, null, 2)}\n`);
  console.log(name, JSON.stringify(figures));
}

const DEPLOYMENTS: readonly DeploymentName[] = ['trentvale', 'association'];
DEPLOYMENTS.forEach((deployment) => {
  record(`placement-${deployment}`, generatePlacementTrace(deployment, SEED));
  record(`waves-lost-rack-${deployment}`, generateWaveTrace(deployment, SEED, 'lost-rack'));
  record(`waves-bad-firmware-${deployment}`, generateWaveTrace(deployment, SEED, 'bad-firmware'));
  record(`buffers-${deployment}`, generateBufferTrace(deployment, SEED));
  record(`overload-${deployment}`, generateOverloadTrace(deployment, SEED));
});
