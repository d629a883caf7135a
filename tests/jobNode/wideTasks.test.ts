import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { DurableJobSpec, StepSpec } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { JobsCluster } from '../../standins/jobs/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const LONG_RUNNING_STEP = makeStep({
  taskCount: 4,
  demand: { cpuMillicores: 4_000, memoryMb: 100, gpuCount: 0 },
  isLongRunning: true,
  maxUnavailableCount: 1,
});
const WIDE_STEP = makeStep({ demand: { cpuMillicores: 30_000, memoryMb: 100, gpuCount: 0 } });
const VMS = [
  ...['p1', 'p2', 'p3', 'p4'].map((vm) => ({
    vm,
    pool: 'pages',
    state: 'up' as const,
    targetId: `t-${vm}`,
  })),
  { vm: 's1', pool: 'spare', state: 'up' as const },
];

describe('a task that needs nearly a whole VM', () => {
  let cluster: JobsCluster;

  beforeEach(async () => {
    const pools = [
      { pool: 'pages', isStandby: false },
      { pool: 'spare', isStandby: true },
    ];
    cluster = new JobsCluster({
      configuration: { version: 1, queues: [], pools },
      vms: VMS,
      events: new MemoryEventLog(),
      nodeCount: 1,
    });
    await cluster.start();
    await vi.waitFor(() => expect(cluster.nodes[0]!.node.isReady).toBe(true));
  });

  afterEach(() => cluster.stop());

  async function submit(jobId: string, steps: readonly StepSpec[]): Promise<void> {
    const job: DurableJobSpec = makeJob(jobId, steps);
    await cluster.nodes[0]!.node.gateway.submit(job);
  }

  // Guards against an accepted job that never runs, as each VM carries a long-running task.
  it('gets a VM without long-running tasks', async () => {
    await submit('service', [LONG_RUNNING_STEP]);
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toHaveLength(4), 5_000);
    await submit('wide', [WIDE_STEP]);
    await vi.waitFor(() => expect(cluster.targets.listRunning()).toContain('wide.0.0.0'), 8_000);
  }, 20_000);
});
