/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../common/runCase.mjs';

const VISIBLE_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const RUN_MS = 4_000;

const EDITOR = {
  name: 'r-save',
  host: 'wiki.example',
  path_prefix: '/save/',
  type: 'non_idempotent',
  timeout_ms: 3_000,
  target_duration_ms: 600,
  priority: 1,
  backend: 'editor',
  max_attempts: 3,
  stretch: 1.6,
};
const OTHER = { ...EDITOR, name: 'r-other', path_prefix: '/other/' };
const EXPORTER = { ...EDITOR, name: 'r-save-2', backend: 'exporter' };
const BACKENDS = ['editor', 'exporter'].map((name) => ({
  name,
  health_path: '/health',
  enforces_capacity: true,
  standby: false,
}));
const STEPS = [{ count: 4, cpu: 1_800, mem_mb: 256, estimate_ms: RUN_MS }];

/** TWICE: a start after a run has ended `done`, if that end was listed and is taken note of. */
function findStartsAfterDone(events) {
  const done = new Map();
  return events.flatMap(({ what, id, task, run, how }) => {
    if (what === 'acknowledged' && how === 'done') done.set(task, `run ${run} on ${id}`);
    if (what !== 'start' || !done.has(task)) return [];
    return [`TWICE: run ${run} of ${task} on ${id}, though ${done.get(task)} was done`];
  });
}

await runCase(import.meta.url, { daemonCount: 3 }, async (cluster, hasTrouble) => {
  await cluster.start({ config: { routes: [EDITOR, OTHER], backends: BACKENDS } });
  await cluster.addExecutor({ pool: 'editor' });
  await cluster.addExecutor({ pool: 'exporter' });
  await cluster.startDaemons();
  await sleep(3_000);

  const body = { spec: 'tenancy guidance', steps: STEPS };
  const { jobId, isAccepted } = await cluster.submit(EDITOR, body, { durationMs: RUN_MS });
  if (!isAccepted) throw new Error('The job was not accepted.');
  await sleep(1_000);
  const before = await cluster.getState(EDITOR, jobId, 1);
  if (before.state !== 'running') throw new Error('The job does not run.');

  // The disruption: one version removes the queue's route and adds one for another service.
  if (hasTrouble) cluster.putConfig({ routes: [EXPORTER, OTHER], backends: BACKENDS });
  await sleep(VISIBLE_MS + CONFIG_APPLY_MS);

  const answers = [];
  for (let daemon = 0; daemon < 3; daemon += 1) {
    answers.push(await cluster.getState(EDITOR, jobId, daemon));
  }
  // The request of the accepted job arrives once more, seconds after its 2xx.
  await cluster.submit(EDITOR, body, { durationMs: RUN_MS, jobId, daemon: 1 });
  await sleep(6_000);
  await cluster.getState(EDITOR, jobId, 2);

  const gone = answers.filter(({ status }) => status === 410).length;
  const lost =
    gone === 0 ? [] : [`LOST: ${gone} of 3 GETs for the accepted job ${jobId} were answered 410`];
  return [...lost, ...findStartsAfterDone(cluster.events)];
});
