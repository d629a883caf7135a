import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import type { DemoCluster } from './DemoCluster.js';
import type { DemoFile } from './demoUsers.js';

const READY_WAIT_MS = 20_000;
const READY_POLL_MS = 250;

const poolsSchema = z.array(
  z.object({
    pool: z.string(),
    neededSlotCount: z.number(),
    usableSlotCount: z.number(),
    budget: z.string(),
  }),
);
/**
 * Publishes a team's settings through the command line.
 * @param cluster - Where to.
 * @param file - The settings.
 * @throws Error Where they are not accepted.
 */
export async function publish(cluster: DemoCluster, file: DemoFile): Promise<void> {
  const path = cluster.writeFile(file.fileName, file.document);
  const run = await cluster.runCli(['settings', 'publish', path]);
  if (run.code !== 0) throw new Error(`publish failed:\n${run.lines.join('\n')}`);
}

async function waitForCapacity(cluster: DemoCluster, deadlineMs: number): Promise<void> {
  const run = await cluster.runCli(['pools']);
  const pools = poolsSchema.safeParse(run.json).data ?? [];
  const isReady = (pool: (typeof pools)[number]) => pool.usableSlotCount >= pool.neededSlotCount;
  if (pools.length > 0 && pools.every(isReady)) return;
  if (Date.now() >= deadlineMs) {
    throw new Error(`The pools did not get their VMs:\n${run.lines.join('\n')}`);
  }
  await sleep(READY_POLL_MS);
  await waitForCapacity(cluster, deadlineMs);
}

/**
 * Publishes settings and waits until every pool has the slots that it needs.
 * @param cluster - Where to.
 * @param files - The settings of all teams.
 * @throws Error Where settings are not accepted, or a pool does not get its VMs in time.
 */
export async function publishAll(cluster: DemoCluster, files: readonly DemoFile[]): Promise<void> {
  await Promise.all(files.map((file) => publish(cluster, file)));
  await waitForCapacity(cluster, Date.now() + READY_WAIT_MS);
}
