import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { QueueConfiguration } from '../../src/queues/index.js';
import { type ClusterNode, JobsCluster } from '../../standins/jobs/index.js';

const TERMS = { priority: 0, maxAttempts: 2, stretch: 2, targetDurationMs: 600 };
const POOLS = ['pages', 'archive', 'media'];
const VMS = POOLS.map((pool) => ({ vm: pool, pool, state: 'up' as const, targetId: `t-${pool}` }));
const BODY = JSON.stringify({ payload: 'save', steps: [{ taskCount: 2 }] });
const TASKS = ['save-1.0.0.0', 'save-1.0.0.1'];

/** Where operators send the queue of these tests, and what they call it. */
interface Placement {
  readonly pool: string;
  readonly queue?: string;
  readonly pathPrefix?: string;
  readonly pools?: readonly string[];
}

function configure(version: number, placement: Placement): QueueConfiguration {
  const { pool, queue = 'saves', pathPrefix = '/save/', pools = POOLS } = placement;
  return {
    version,
    queues: [{ host: 'wiki.example', pathPrefix, terms: { ...TERMS, queue, pool } }],
    pools: pools.map((name) => ({ pool: name, isStandby: false })),
  };
}

let cluster: JobsCluster;
let version = 1;

beforeEach(async () => {
  version = 1;
  cluster = new JobsCluster({
    configuration: configure(version, { pool: 'pages' }),
    vms: VMS,
    events: new MemoryEventLog(),
    nodeCount: 3,
  });
  await cluster.start();
  await vi.waitFor(() => expect(cluster.nodes.every(({ node }) => node.isReady)).toBe(true));
});

afterEach(async () => {
  await cluster.stop();
  expect(cluster.targets.violations).toEqual([]);
});

/** Publishes where the queue is from now on, and waits until every instance knows it. */
async function place(placement: Placement): Promise<void> {
  version += 1;
  await cluster.publish('configuration', configure(version, placement));
  const listVersions = () => cluster.nodes.map(({ node }) => node.getConfiguration()?.version);
  await vi.waitFor(() => expect(new Set(listVersions())).toEqual(new Set([version])), 5_000);
}

async function send(
  { address }: ClusterNode,
  method: string,
  path: string,
): Promise<{ readonly status: number; readonly state: unknown; readonly pendingCount: unknown }> {
  const body = method === 'POST' ? BODY : undefined;
  const headers = { 'content-type': 'application/json' };
  const init = body === undefined ? { method } : { method, body, headers };
  const response = await fetch(`http://${address}/v1/queues/${path}`, init);
  const answer = (await response.json()) as Record<string, unknown>;
  return { status: response.status, state: answer.state, pendingCount: answer.pendingJobCount };
}

async function askAll(path: string): Promise<readonly unknown[]> {
  const answers = await Promise.all(cluster.nodes.map((node) => send(node, 'GET', path)));
  return answers.map(({ state }) => state);
}

async function submit(path: string, index = 0): Promise<number> {
  const { status } = await send(cluster.nodes[index]!, 'POST', path);
  return status;
}

/** Submits a job, and waits until its tasks run. */
async function startJob(): Promise<void> {
  expect(await submit('saves/jobs/save-1')).toBe(201);
  await vi.waitFor(() => expect(cluster.targets.listRunning().toSorted()).toEqual(TASKS), 5_000);
}

async function finishJob(path: string): Promise<void> {
  cluster.targets.listRunning().forEach((taskName) => cluster.targets.finish(taskName, 'done'));
  await vi.waitFor(async () => {
    expect(await askAll(path)).toEqual(cluster.nodes.map(() => 'completed'));
  }, 5_000);
}

/** Replaces every instance, and waits until each of the new ones tells that the job runs. */
async function replaceInstances(): Promise<void> {
  const earlier = cluster.nodes.splice(0);
  await Promise.all(earlier.map(() => cluster.startNode()));
  await Promise.all(earlier.map((node) => JobsCluster.stopNode(node)));
  await vi.waitFor(async () => {
    expect(await askAll('saves/jobs/save-1')).toEqual(['running', 'running', 'running']);
  }, 8_000);
}

describe('a job whose queue is moved to another pool', () => {
  // Guards against an accepted job that is told to be unknown, and runs again when it is repeated.
  it('is found by every instance, and stays one job', async () => {
    await startJob();
    await place({ pool: 'archive' });
    expect(await askAll('saves/jobs/save-1')).toEqual(['running', 'running', 'running']);
    expect(await submit('saves/jobs/save-1', 1)).toBe(201);
    await finishJob('saves/jobs/save-1');
    expect(await submit('saves/jobs/save-1', 2)).toBe(201);
    expect(await askAll('saves/jobs/save-1')).toEqual(['completed', 'completed', 'completed']);
    expect(cluster.targets.begun).toHaveLength(TASKS.length);
  }, 20_000);

  // Guards against a job that goes on running while its caller is told that there is none.
  it('is cancelled by every instance', async () => {
    await startJob();
    await place({ pool: 'archive' });
    const { status } = await send(cluster.nodes[1]!, 'DELETE', 'saves/jobs/save-1');
    expect(status).toBe(200);
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toEqual([]), 5_000);
    expect(await askAll('saves/jobs/save-1')).toEqual(['cancelled', 'cancelled', 'cancelled']);
  }, 20_000);

  // Guards against an instance that takes over after the move and knows the new pool alone.
  it('is found after every instance has been replaced', async () => {
    await startJob();
    await place({ pool: 'archive' });
    await replaceInstances();
    expect(await submit('saves/jobs/save-1', 1)).toBe(201);
    await finishJob('saves/jobs/save-1');
    expect(cluster.targets.begun).toHaveLength(TASKS.length);
  }, 30_000);

  // Guards against a second run by a pool that the queue had before, or comes back to.
  it('stays one job while the queue moves on, comes back, and is renamed', async () => {
    await startJob();
    await place({ pool: 'archive' });
    expect(await submit('saves/jobs/save-1', 1)).toBe(201);
    await place({ pool: 'media', queue: 'notes' });
    expect(await submit('notes/jobs/save-1', 2)).toBe(201);
    expect(await submit('notes/jobs/save-2', 2)).toBe(201);
    await place({ pool: 'pages', queue: 'saves', pathPrefix: '/store/' });
    expect(await submit('saves/jobs/save-1', 0)).toBe(201);
    await finishJob('saves/jobs/save-1');
    expect(cluster.targets.begun).toHaveLength(2 * TASKS.length);
  }, 30_000);

  // Guards against a job without a home, whose leases lapse, as no configured pool is kept there.
  it('goes on where the earlier pool is no longer configured, also at the next home', async () => {
    await startJob();
    await place({ pool: 'archive', pools: ['archive', 'media'] });
    expect(await askAll('saves/jobs/save-1')).toEqual(['running', 'running', 'running']);
    await replaceInstances();
    await finishJob('saves/jobs/save-1');
    expect(cluster.targets.begun).toHaveLength(TASKS.length);
  }, 30_000);

  // Guards against operators who take a queue for empty while its jobs wait in the earlier pool.
  it('counts as pending until it begins', async () => {
    cluster.targets.remove('t-pages');
    expect(await submit('saves/jobs/save-1')).toBe(201);
    await place({ pool: 'archive', queue: 'notes' });
    const answers = await Promise.all(cluster.nodes.map((node) => send(node, 'GET', 'notes')));
    expect(answers.map(({ pendingCount }) => pendingCount)).toEqual([1, 1, 1]);
  }, 20_000);
});
