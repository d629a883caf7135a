import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { JobsCluster } from '../../standins/jobs/index.js';
import { makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

/** Starts after the third crash from which the users count a task as started too often. */
const STARTS_TOO_MANY = 6;
const VMS = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7', 'p8'].map((vm, place) => ({
  vm,
  pool: 'pages',
  state: 'up' as const,
  targetId: `t-${vm}`,
  rack: `r${place % 4}`,
}));

describe('tasks that crash their targets', () => {
  let cluster: JobsCluster;

  beforeEach(async () => {
    const queue = { host: 'wiki.example', pathPrefix: '/pages/', terms: TERMS };
    cluster = new JobsCluster({
      configuration: { version: 1, queues: [queue], pools: [{ pool: 'pages', isStandby: false }] },
      vms: VMS,
      events: new MemoryEventLog(),
      nodeCount: 2,
    });
    await cluster.start();
    await vi.waitFor(() => expect(cluster.nodes.every(({ node }) => node.isReady)).toBe(true));
  });

  afterEach(async () => {
    await cluster.stop();
    expect(cluster.targets.violations).toEqual([]);
  });

  function countStarts(taskName: string): number {
    return cluster.targets.begun.filter((run) => run.taskName === taskName).length;
  }

  // Guards against a task without a bound of its runs: it takes one target after the other down.
  it('gives up a task that crashes each target that starts it, before a sixth start', async () => {
    cluster.targets.crashingTasks.add('bad.0.0.1');
    const { gateway } = cluster.nodes[0]!.node;
    await gateway.submit(makeJob('bad', [makeStep({ taskCount: 3 })]));
    await vi.waitFor(() => expect(countStarts('bad.0.0.1')).toBeGreaterThan(1), 10_000);
    await sleep(6_000);
    expect(countStarts('bad.0.0.1')).toBeLessThan(STARTS_TOO_MANY);
    expect(await gateway.getState(TERMS, 'bad')).toBe('failed');
  }, 30_000);
});
