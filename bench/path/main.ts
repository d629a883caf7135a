import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { mkdirSync, writeFileSync } from 'node:fs';
import { build } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { TASK_HEADERS } from '../../src/targets/taskHeaders.js';
import { PathCluster, type PathDaemon } from './PathCluster.js';

/** Figures of one way to a target. */
interface Latency {
  readonly medianMs: number;
  readonly p99Ms: number;
}

const HOST = '127.0.0.1';
const DAEMON_COUNT = 3;
const WARM_UP_COUNT = 100;
/** Saves come one by one, as editors send them, at about 15 a second. */
const SAVE_COUNT = 150;
const SAVE_PAUSE_MS = 60;
const CALL_COUNT = 600;
const CALLER_COUNT = 48;
const LOAD_MS = 4_000;
const IDLE_MS = 5_000;
const ROLL_OUT_COUNT = 10;
const US_PER_MS = 1_000;
const PERCENT = 100;
const MEDIAN = 50;
const P99 = 99;
const BODY = JSON.stringify({ runMs: 1 });
const REPORT_FOLDER = 'reports';

const agent = new Agent({ connections: CALLER_COUNT });

async function callTarget(port: number): Promise<number> {
  const answer = await request(`http://${HOST}:${port}/v1/tasks`, {
    method: 'POST',
    body: BODY,
    dispatcher: agent,
    headers: {
      [TASK_HEADERS.taskId]: randomUUID(),
      [TASK_HEADERS.requestId]: randomUUID(),
      [TASK_HEADERS.jobKind]: 'search',
      [TASK_HEADERS.coreCount]: '1',
      [TASK_HEADERS.memoryMb]: '64',
      [TASK_HEADERS.leaseDeadlineMs]: String(Date.now() + 10_000),
    },
  });
  await answer.body.dump();
  return answer.statusCode;
}

async function callDaemon(daemon: PathDaemon, kind: 'save' | 'search'): Promise<number> {
  const answer = await request(`http://${HOST}:${daemon.port}/v1/pools/bench/pages/jobs`, {
    method: 'POST',
    body: BODY,
    dispatcher: agent,
    headers: {
      'rattanlift-kind': kind,
      'rattanlift-request-id': randomUUID(),
      'rattanlift-deadline-ms': String(Date.now() + 10_000),
    },
  });
  await answer.body.dump();
  return answer.statusCode;
}

async function measureLatency(
  call: () => Promise<number>,
  callCount = CALL_COUNT,
  pauseMs = 0,
): Promise<Latency> {
  const histogram = build();
  const callOn = async (left: number): Promise<void> => {
    if (left === 0) return;
    const startedAtMs = performance.now();
    const status = await call();
    if (status !== 200) throw new Error(`A call was answered ${status}.`);
    const tookUs = (performance.now() - startedAtMs) * US_PER_MS;
    if (left <= callCount) histogram.recordValue(Math.round(tookUs));
    if (pauseMs > 0) await sleep(pauseMs);
    await callOn(left - 1);
  };
  await callOn(callCount + WARM_UP_COUNT);
  const read = (percentile: number) => histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return { medianMs: read(MEDIAN), p99Ms: read(P99) };
}

/** Calls from many callers at once, and counts the good answers a second. */
async function measureRate(call: () => Promise<number>): Promise<number> {
  const endMs = performance.now() + LOAD_MS;
  let goodCount = 0;
  const callOn = async (): Promise<void> => {
    if (performance.now() >= endMs) return;
    if ((await call()) === 200) goodCount += 1;
    await callOn();
  };
  await Promise.all(Array.from({ length: CALLER_COUNT }, callOn));
  return (goodCount * 1_000) / LOAD_MS;
}

/** Kills the pool's home, and counts the time until another daemon serves a job again. */
async function measureTakeover(cluster: PathCluster): Promise<number> {
  const home = (await cluster.getHome())!;
  const other = cluster.daemons.find((daemon) => daemon !== home)!;
  const startedAtMs = performance.now();
  await home.managed.kill();
  await cluster.waitFor(async () => (await callDaemon(other, 'search')) === 200);
  return performance.now() - startedAtMs;
}

/** Takes a busy VM out under load, and counts the time until its last new task. */
async function measureLastStart(cluster: PathCluster, how: 'drain' | 'leave'): Promise<number> {
  const load = measureRate(() => callDaemon(cluster.daemons[0]!, 'search'));
  await sleep(LOAD_MS / 4);
  const { vm } = (await cluster.listStarts()).at(-1)!;
  await cluster.takeOut(vm, how);
  const takenOutAtMs = Date.now();
  await load;
  const starts = (await cluster.listStarts()).filter((start) => start.vm === vm);
  return Math.max(0, starts.at(-1)!.startedAtMs - takenOutAtMs);
}

async function measureIdleCpu(daemon: PathDaemon): Promise<number> {
  const startedS = PathCluster.readCpuS(daemon);
  await sleep(IDLE_MS);
  return ((PathCluster.readCpuS(daemon) - startedS) * PERCENT * 1_000) / IDLE_MS;
}

async function measureRollOuts(cluster: PathCluster): Promise<readonly number[]> {
  const repeat = async (version: number, left: number): Promise<readonly number[]> => {
    if (left === 0) return [];
    const next = await cluster.measureRollOut(version);
    return [next.rollOutMs, ...(await repeat(next.version, left - 1))];
  };
  const version = await PathCluster.readVersion(cluster.daemons[0]!);
  return (await repeat(version, ROLL_OUT_COUNT)).toSorted((a, b) => a - b);
}

async function measure(cluster: PathCluster) {
  const home = (await cluster.getHome())!;
  const other = cluster.daemons.find((daemon) => daemon !== home)!;
  const [vm] = await cluster.listVms();
  const idleRssMb = PathCluster.readRssMb(other);
  const idleCpuPercent = await measureIdleCpu(other);
  const direct = await measureLatency(() => callTarget(vm!.port));
  const atHome = await measureLatency(() => callDaemon(home, 'search'));
  const atOther = await measureLatency(() => callDaemon(other, 'search'));
  const save = await measureLatency(() => callDaemon(other, 'save'), SAVE_COUNT, SAVE_PAUSE_MS);
  const directPerS = await measureRate(() => callTarget(vm!.port));
  const searchesPerS = await measureRate(() => callDaemon(other, 'search'));
  const before = await cluster.readAppends();
  const savesPerS = await measureRate(() => callDaemon(other, 'save'));
  const after = await cluster.readAppends();
  const appendsPerS = ((after.appendCount - before.appendCount) * 1_000) / LOAD_MS;
  const loadedRssMb = PathCluster.readRssMb(other);
  const rollOutsMs = await measureRollOuts(cluster);
  const lastStartAfterDrainMs = await measureLastStart(cluster, 'drain');
  const lastStartAfterLeaveMs = await measureLastStart(cluster, 'leave');
  const takeoverMs = await measureTakeover(cluster);
  return {
    direct,
    atHome,
    atOther,
    save,
    directPerS,
    searchesPerS,
    savesPerS,
    appendsPerS,
    idleRssMb,
    loadedRssMb,
    idleCpuPercent,
    medianRollOutMs: rollOutsMs[Math.floor(rollOutsMs.length / 2)]!,
    slowestRollOutMs: rollOutsMs.at(-1)!,
    lastStartAfterDrainMs,
    lastStartAfterLeaveMs,
    takeoverMs,
  };
}

function print(figures: Awaited<ReturnType<typeof measure>>): void {
  const { direct } = figures;
  const line = (name: string, latency: Latency) =>
    `${name.padEnd(34)} ${latency.medianMs.toFixed(2).padStart(8)} ms ${latency.p99Ms
      .toFixed(2)
      .padStart(8)} ms   x${(latency.medianMs / direct.medianMs).toFixed(2)}`;
  console.log(`${'a job of 1 ms'.padEnd(34)} ${'median'.padStart(8)}    ${'p99'.padStart(8)}`);
  console.log(line('called directly', direct));
  console.log(line('search, at the pool’s home', figures.atHome));
  console.log(line('search, at another daemon', figures.atOther));
  console.log(line('save (claimed), at another daemon', figures.save));
  console.log(`direct calls a second        ${figures.directPerS.toFixed(0)}`);
  console.log(`searches a second, one daemon ${figures.searchesPerS.toFixed(0)}`);
  console.log(`saves a second, one daemon    ${figures.savesPerS.toFixed(0)}`);
  console.log(`appends a second meanwhile    ${figures.appendsPerS.toFixed(0)}`);
  console.log(
    `RSS of a daemon, idle/loaded  ${figures.idleRssMb.toFixed(0)} MB / ${figures.loadedRssMb.toFixed(0)} MB`,
  );
  console.log(`processor time of an idle daemon ${figures.idleCpuPercent.toFixed(1)} % of a core`);
  const leftMs = `${figures.lastStartAfterDrainMs.toFixed(0)} ms / ${figures.lastStartAfterLeaveMs.toFixed(0)} ms`;
  console.log(`last new task after a drain / after the list says leaving ${leftMs}`);
  console.log(
    `configuration in force on all ${figures.medianRollOutMs.toFixed(0)} ms median, ${figures.slowestRollOutMs.toFixed(0)} ms slowest of ${ROLL_OUT_COUNT}`,
  );
  console.log(`placement again after a home was killed ${figures.takeoverMs.toFixed(0)} ms`);
}

const cluster = new PathCluster();
try {
  await cluster.start(DAEMON_COUNT);
  const figures = await measure(cluster);
  print(figures);
  mkdirSync(REPORT_FOLDER, { recursive: true });
  writeFileSync(`${REPORT_FOLDER}/path.json`, JSON.stringify(figures, null, 2));
} finally {
  await cluster.stop();
  await agent.close();
}
