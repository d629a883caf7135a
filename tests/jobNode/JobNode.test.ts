import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { type CliIo, runCli } from '../../src/cli/index.js';
import { EXIT_CODES } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { QueueConfiguration } from '../../src/queues/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { JobsCluster } from '../../standins/jobs/index.js';

const terms = { priority: 0, maxAttempts: 2, stretch: 2, targetDurationMs: 600 };
const CONFIGURATION: QueueConfiguration = {
  version: 1,
  queues: ['pages', 'archive'].map((pool) => ({
    host: 'wiki.example',
    pathPrefix: `/${pool}/`,
    terms: { ...terms, queue: `${pool}-queue`, pool },
  })),
  pools: [
    { pool: 'pages', isStandby: false },
    { pool: 'archive', isStandby: false },
    { pool: 'spare', isStandby: true },
  ],
};
const VMS = [
  ...['p1', 'p2'].map((vm) => ({ vm, pool: 'pages', state: 'up' as const, targetId: `t-${vm}` })),
  ...['a1', 'a2'].map((vm) => ({ vm, pool: 'archive', state: 'up' as const, targetId: `t-${vm}` })),
  { vm: 's1', pool: 'spare', state: 'up' as const },
];
const JOB = JSON.stringify({
  payload: 'save',
  steps: [{ taskCount: 2 }, { taskCount: 1, afterSteps: [0] }],
});

describe('JobNode', () => {
  let cluster: JobsCluster;
  let files: Readonly<Record<string, string>>;

  beforeEach(async () => {
    files = { 'job.json': JOB };
    const events = new MemoryEventLog();
    cluster = new JobsCluster({ configuration: CONFIGURATION, vms: VMS, events, nodeCount: 3 });
    await cluster.start();
    await vi.waitFor(() => expect(cluster.nodes.every(({ node }) => node.isReady)).toBe(true));
  });

  afterEach(async () => {
    await cluster.stop();
    expect(cluster.targets.violations).toEqual([]);
  });

  async function run(
    place: number,
    ...args: readonly string[]
  ): Promise<{ readonly code: number; readonly text: string }> {
    const lines: string[] = [];
    const io: CliIo = {
      stdout: (output) => lines.push(output.toString()),
      stderr: (text) => lines.push(text),
      readFile: async (path) => Buffer.from(files[path]!),
      environment: { RATTANLIFT_DAEMONS: cluster.nodes[place]!.address },
      clock: new SystemClock(),
      sleep: async () => undefined,
    };
    const code = await runCli(['queues', ...args], io);
    return { code, text: lines.join('') };
  }

  async function finishAll(): Promise<void> {
    await vi.waitFor(() => expect(cluster.targets.listRunning().length).toBeGreaterThan(0), 5_000);
    cluster.targets.listRunning().forEach((taskName) => cluster.targets.finish(taskName, 'done'));
  }

  it('runs a job that was submitted at one instance and tells its state at another', async () => {
    const submitted = await run(0, 'submit', 'pages-queue', 'save-1', 'job.json');
    expect(submitted).toMatchObject({ code: EXIT_CODES.ok });
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toHaveLength(2), 5_000);
    expect((await run(1, 'status', 'pages-queue', 'save-1')).text).toContain('running');
    expect((await run(2, 'pending', 'pages-queue')).text).toContain('0 pending');
    await finishAll();
    await finishAll();
    await vi.waitFor(async () => {
      expect((await run(2, 'status', 'pages-queue', 'save-1')).text).toContain('completed');
    }, 5_000);
  });

  it('cancels a job at any instance and stops its tasks', async () => {
    await run(0, 'submit', 'archive-queue', 'sweep', 'job.json');
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toHaveLength(2), 5_000);
    expect((await run(1, 'cancel', 'archive-queue', 'sweep')).text).toContain('cancelled');
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toEqual([]), 5_000);
  });

  it('names the field of a malformed job, and unknown queues and jobs', async () => {
    files = { 'job.json': '{"steps":[{"taskCount":0}]}', 'odd.json': '{"steps":[],"colour":1}' };
    const malformed = await run(0, 'submit', 'pages-queue', 'x', 'job.json');
    expect(malformed).toMatchObject({ code: EXIT_CODES.invalid });
    expect(malformed.text).toContain('steps[0].taskCount');
    expect((await run(0, 'submit', 'pages-queue', 'x', 'odd.json')).text).toContain('colour');
    expect(await run(0, 'status', 'none', 'x')).toMatchObject({ code: EXIT_CODES.notFound });
    expect(await run(0, 'status', 'pages-queue', 'x')).toMatchObject({
      code: EXIT_CODES.notFound,
    });
  });

  it('goes on with a job whose home stops, without running a task twice', async () => {
    await run(0, 'submit', 'pages-queue', 'save-1', 'job.json');
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toHaveLength(2), 5_000);
    const [first, ...others] = cluster.nodes.splice(0);
    cluster.nodes.push(...others);
    await JobsCluster.stopNode(first!);
    await finishAll();
    await finishAll();
    await vi.waitFor(async () => {
      expect((await run(0, 'status', 'pages-queue', 'save-1')).text).toContain('completed');
    }, 8_000);
    expect(cluster.targets.begun).toHaveLength(3);
  });

  it('leads a wave to its end, with every VM maintained once', async () => {
    await cluster.orderWave({ wave: 7, vms: ['p1', 'a1', 's1'], withinMs: 9_000, maxDownCount: 1 });
    await vi.waitFor(async () => expect(await cluster.readWaveStatus(7)).toBe('completed'), 15_000);
    const maintained = cluster.fleet.orders.filter(({ order }) => order === 'maintain');
    expect(maintained.map(({ vm }) => vm).toSorted()).toEqual(['a1', 'p1', 's1']);
    expect(new Set(maintained.map(({ term }) => term)).size).toBe(1);
  });
});
