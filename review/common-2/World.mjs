/* eslint-disable no-await-in-loop, no-restricted-syntax --
   the steps of a case follow each other */
/**
 * Starts the daemons as the deploy file does, beside stand-ins of the platform, and speaks to them
 * as requesters do. Everything listens on loopback addresses that are drawn anew for each run.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { Executor } from './Executor.mjs';
import { sendJson, Store } from './Store.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds of the small deployment `tvbu-wiki`. */
export const BOUNDS = {
  hold_max_ms: 10_000,
  status_s: 120,
  lease_ms: 3_000,
  gang_wait_ms: 3_000,
  stop_grace_ms: 400,
  visible_ms: 3_000,
  finish_s: 14,
};

const HEARTBEAT_MS = 1_500;
/** All machines start within 0.3 s of each other. */
const MAX_START_GAP_MS = 100;
const RECORD_BYTES = 262_144;
const REQUEST_BYTES = 2_097_152;
const PARTITIONS = 16;
const HOST = 'jobs.example';

export { sleep };

function lookUp(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

/** Fills in the template of settings: values, and sections over lists and present values. */
function render(template, fields) {
  const sections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_all, path, inner) => {
      const value = lookUp(fields, path);
      if (!Array.isArray(value)) return value ? inner : '';
      return value
        .map((each, index) =>
          inner.replaceAll('{{.}}', each).replaceAll('{{,}}', index < value.length - 1 ? ',' : ''),
        )
        .join('');
    },
  );
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => `${lookUp(fields, path) ?? ''}`);
}

/** Reads the command of the only role, and its template, from the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const get = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)[1];
  return {
    run: get('run').split(' '),
    template: readFileSync(join(ROOT, get('template')), 'utf8'),
  };
}

export class World {
  executors = [];

  daemons = [];

  queues = [];

  pools = [];

  version = 7;

  /** What executors have begun and ended, in order. */
  seen = [];

  constructor({ recordFile, partitionCount = PARTITIONS }) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
    this.startedAtMs = performance.now();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.subnet = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
    this.nextHost = 1;
    this.partitionCount = partitionCount;
    this.store = new Store({
      partitionCount,
      recordBytes: RECORD_BYTES,
      requestBytes: REQUEST_BYTES,
    });
    this.deploy = readDeployFile();
    this.agent = new Agent({ keepAlive: false });
    this.isQuiet = false;
    process.once('exit', () => this.killAll());
    ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) =>
      process.once(signal, () => process.exit(2)),
    );
  }

  log = (fields) => {
    if (fields.event === 'start' || fields.event === 'end') this.seen.push(fields);
    if (this.isQuiet && (fields.event === 'start' || fields.event === 'end')) return;
    const atMs = Math.round(performance.now() - this.startedAtMs);
    appendFileSync(this.recordFile, `${JSON.stringify({ atMs, ...fields })}\n`);
  };

  /** Counts the runs of a job that have ended in a way; members of a gang share a run. */
  countRuns(id, how) {
    const runs = this.seen
      .filter(
        ({ event, task, how: ended }) => event === 'end' && task.startsWith(id) && ended === how,
      )
      .map(({ run }) => run);
    return new Set(runs).size;
  }

  /** Counts the work items of a job that have ended `done`. */
  countDone(id) {
    const tasks = this.seen
      .filter(({ event, task, how }) => event === 'end' && how === 'done' && task.startsWith(id))
      .map(({ task }) => task);
    return new Set(tasks).size;
  }

  /** Tells whether an executor has begun a work item of a job. */
  hasStarted(id) {
    return this.seen.some(({ event, task }) => event === 'start' && task.startsWith(id));
  }

  /** Leaves single starts and ends out of the record, where there are thousands. */
  beQuiet() {
    this.isQuiet = true;
  }

  takeHost() {
    this.nextHost += 1;
    return `${this.subnet}.${this.nextHost - 1}`;
  }

  async start({ daemonCount, pools, queues }) {
    this.platformHost = this.takeHost();
    this.vmsAddress = await this.listenVms();
    this.queues = queues;
    this.pools = pools.map(({ name }) => name);
    this.publish();
    await Promise.all(
      pools.flatMap(({ name, executorCount, capacity }) =>
        Array.from({ length: executorCount }, (_each, index) =>
          this.addExecutor({ pool: name, index, capacity }),
        ),
      ),
    );
    this.heartbeats = setInterval(() => this.beat(), HEARTBEAT_MS);
    for (let index = 0; index < daemonCount; index += 1) {
      await this.startDaemon(index);
      await sleep(randomInt(MAX_START_GAP_MS));
    }
    await this.whenReady();
  }

  /** Publishes a configuration as the operator does. */
  publish() {
    this.store.put('keyed.op', 'config', {
      version: this.version,
      routes: this.queues.map(({ name, pool, attempts }) => ({
        name,
        host: HOST,
        path_prefix: `/${name}/`,
        backend: pool,
        priority: 0,
        max_attempts: attempts,
        stretch: 2,
        target_duration_ms: 1_000,
      })),
      backends: this.pools.map((name) => ({ name, enforces_capacity: true })),
      limits: {},
    });
  }

  async addExecutor({ pool, index, capacity }) {
    const executor = new Executor({
      id: `e${randomInt(1e9).toString(36)}${pool}${index}`,
      machine: `m-${pool}-${index}`,
      pool,
      zone: 'hall-a',
      rack: `r-${pool}-${Math.floor(index / 4)}`,
      capacity: capacity ?? { cpu: 32_000, mem_mb: 131_072 },
      bounds: BOUNDS,
      log: this.log,
    });
    await executor.listen(this.platformHost);
    this.executors.push(executor);
    this.store.put('keyed.servers', executor.id, executor.entry);
    return executor;
  }

  /** Crashes an executor; its machine starts another one, with a new id, after a while. */
  async crashExecutor(executor, downMs) {
    executor.crash();
    await sleep(downMs);
    this.executors = this.executors.filter((other) => other !== executor);
    this.store.put('keyed.servers', executor.id, undefined);
    const { pool, machine, capacity } = executor;
    await this.addExecutor({ pool, index: Number(machine.split('-').at(-1)), capacity });
  }

  beat() {
    if (this.store.outage !== undefined) return;
    this.executors
      .filter(({ isDown }) => !isDown)
      .forEach((executor) => this.store.put('keyed.servers', executor.id, executor.entry));
  }

  listenVms() {
    this.vms = createServer((request, response) => {
      request.resume();
      if (request.method === 'GET' && request.url.startsWith('/api/machines')) {
        const machines = this.executors.map((executor) => ({
          machine: executor.machine,
          pool: executor.pool,
          state: executor.isDown ? 'down' : 'up',
          zone: executor.zone,
          labels: ['a', executor.rack],
          free_capacity: executor.capacity,
          id: executor.isDown ? '' : executor.id,
        }));
        sendJson(response, 200, { machines });
      } else sendJson(response, 409, { reason: 'busy' });
    });
    return new Promise((resolve) => {
      this.vms.listen(0, this.platformHost, () =>
        resolve(`${this.platformHost}:${this.vms.address().port}`),
      );
    });
  }

  async startDaemon(index) {
    const ip = this.takeHost();
    const fields = {
      node_name: `frontend-hall-a-${index + 1}`,
      ip,
      zone: 'hall-a',
      listen_addrs: { frontend: `${ip}:8624`, ready: `${ip}:8622`, control: `${ip}:8623` },
      internal_ports: [7060, 7075],
      limits: { cpu_share: 0.675, cores: 1, link_mbps: 1_000 },
      bounds: BOUNDS,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'upkeep'],
      platform: {
        address: await this.store.listen(this.platformHost, index),
        parts: this.partitionCount,
        ttl_min_ms: 1_000,
        record_bytes: RECORD_BYTES,
      },
      cloud_api: { address: this.vmsAddress },
    };
    const file = join(this.folder, `${fields.node_name}.jsonc`);
    writeFileSync(file, render(this.deploy.template, fields));
    const [command, ...args] = this.deploy.run;
    const daemon = { index, ip, file, child: undefined, ended: [] };
    this.daemons[index] = daemon;
    this.launch(daemon, command, args);
    return daemon;
  }

  launch(daemon, command, args) {
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, RATTANLIFT_SETTINGS: daemon.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const logFile = join(this.folder, `daemon-${daemon.index}.log`);
    const keep = (chunk) => appendFileSync(logFile, chunk);
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      daemon.ended.push({ code, signal });
      this.log({ event: 'daemon ended', daemon: daemon.index, code, signal });
    });
    Object.assign(daemon, { child, logFile });
  }

  /** Finds the daemon that the group of homes has the jobs of a partition at. */
  findHome(part) {
    const member = this.store.getGroup('homes').holders.get(part);
    return this.daemons.find(({ ip }) => member?.includes(`@${ip}:`));
  }

  /** Waits until the store has just renewed the membership of a daemon. */
  async whenRenewed({ ip }) {
    const { members } = this.store.getGroup('homes');
    const getJoinedAtMs = () =>
      [...members].find(([name]) => name.includes(`@${ip}:`))?.[1].joinedAtMs;
    const beforeMs = getJoinedAtMs();
    while (getJoinedAtMs() === beforeMs) await sleep(1);
  }

  /** Finds the partition that keeps a job. */
  findPartition(id) {
    const parts = Array.from({ length: this.partitionCount }, (_each, part) => part);
    return parts.find(
      (part) => this.store.getNewest('keyed.jobs', part, `spec/${id}`) !== undefined,
    );
  }

  /** Starts a daemon again, as the platform does with a process that has ended. */
  restartDaemon(index) {
    const [command, ...args] = this.deploy.run;
    this.launch(this.daemons[index], command, args);
  }

  /** Calls a daemon; resolves with the status and the decoded body, or with the error. */
  call(daemon, method, path, body, timeoutMs = 6_000) {
    return this.exchange({ host: daemon.ip, port: 8624 }, method, path, body, timeoutMs);
  }

  exchange({ host, port }, method, path, body, timeoutMs) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      const headers = { host: HOST, 'deadline-ms': `${timeoutMs}` };
      if (text !== undefined) {
        headers['content-type'] = 'application/json';
        headers['content-length'] = Buffer.byteLength(text);
      }
      const sent = httpRequest(
        { host, port, method, path, headers, agent: this.agent, timeout: timeoutMs },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () => {
            const answer = Buffer.concat(chunks).toString('utf8');
            let decoded;
            try {
              decoded = JSON.parse(answer);
            } catch {
              decoded = answer;
            }
            resolve({ status: response.statusCode, body: decoded });
          });
          response.on('error', (error) => resolve({ error: `${error}` }));
        },
      );
      sent.on('timeout', () => sent.destroy(new Error('timeout')));
      sent.on('error', (error) => resolve({ error: `${error}` }));
      sent.end(text);
    });
  }

  /** Calls a daemon, and puts down what was sent and answered. */
  async ask(daemon, method, path, body, timeoutMs) {
    const answer = await this.call(daemon, method, path, body, timeoutMs);
    this.log({ event: 'call', daemon: daemon.index, method, path, answer });
    return answer;
  }

  /** Hands a job in as a requester does: no answer, 429, 502, 503 and 504 are repeated. */
  async submit(queue, id, job, attempts = 8) {
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const daemon = this.daemons[attempt % this.daemons.length];
      const answer = await this.ask(daemon, 'POST', `/${queue}/${id}`, job);
      if (answer.status === 200) return true;
      await sleep(700);
    }
    return false;
  }

  async whenReady() {
    const deadlineMs = performance.now() + 15_000;
    for (const { ip } of this.daemons) {
      for (;;) {
        const answer = await this.exchange(
          { host: ip, port: 8622 },
          'GET',
          '/api/ready',
          undefined,
          1_000,
        );
        if (answer.status === 200) break;
        if (performance.now() > deadlineMs) throw new Error('The daemons are not ready.');
        await sleep(100);
      }
    }
  }

  killAll() {
    this.daemons.forEach(({ child }) => child?.kill('SIGKILL'));
  }

  /** Ends everything that was started. */
  async stop() {
    clearInterval(this.heartbeats);
    this.killAll();
    this.executors.forEach((executor) => executor.crash());
    this.store.close();
    this.vms?.closeAllConnections();
    this.vms?.close();
    await sleep(200);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs in ${this.folder}\n`);
  }
}

/**
 * Runs a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
 * @param folder - Folder of the case.
 * @param play - Plays the case; returns what broke the rule, or undefined.
 * @param options - Options of the world.
 */
export async function runCase(folder, play, options = {}) {
  const world = new World({ recordFile: join(folder, 'record.txt'), ...options });
  const hasTrouble = process.env.TROUBLE !== '0';
  const limit = setTimeout(() => {
    world.log({ event: 'result', exitCode: 2, reason: 'The case took too long.' });
    world.killAll();
    process.exit(2);
  }, 115_000);
  let exitCode = 2;
  try {
    const broken = await play(world, hasTrouble);
    exitCode = broken === undefined ? 0 : 1;
    world.log({ event: 'result', exitCode, broken });
    process.stdout.write(`${broken ?? 'The rule held.'}\n`);
  } catch (error) {
    world.log({ event: 'result', exitCode, reason: `${error}` });
    process.stdout.write(`The case could not run: ${error.stack}\n`);
  }
  clearTimeout(limit);
  await world.stop();
  process.exit(exitCode);
}
