/* eslint-disable no-await-in-loop -- the steps of a case follow one another */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { randomBytes, randomInt } from 'node:crypto';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Executor } from './Executor.mjs';
import { renderTemplate } from './renderTemplate.mjs';
import { StorePlatform } from './StorePlatform.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const READY_WAIT_MS = 20_000;
/** Longest part of a daemon's log that is kept. */
const LOG_LENGTH = 4_000_000;

const BOUNDS = {
  hold_max_ms: 10_000,
  status_s: 120,
  lease_ms: 3_000,
  stop_grace_ms: 400,
};

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer()
      .once('error', () => resolve(false))
      .listen(port, host, () => server.close(() => resolve(true)));
  });
}

function createJobId() {
  return randomBytes(8).toString('hex');
}

/** Waits until a condition holds, and tells whether it did in time. */
export async function waitFor(condition, maxMs, stepMs = 100) {
  const untilMs = performance.now() + maxMs;
  while (performance.now() < untilMs) {
    if (await condition()) return true;
    await sleep(stepMs);
  }
  return false;
}

/** The daemons of one run as processes of their own, and stand-ins for everything around them. */
export class Cluster {
  executors = [];

  daemons = [];

  jobs = new Map();

  events = [];

  /** Ends of daemons that nobody asked for. */
  selfEnds = [];

  configVersion = 0;

  /**
   * @param options.restartAfterMs - Delay after which a daemon that has ended is started again, as
   * the platform does it; none is started again if absent.
   */
  constructor({ recordFile, daemonCount = 3, contracts, restartAfterMs }) {
    this.restartAfterMs = restartAfterMs;
    this.recordFile = recordFile;
    this.daemonCount = daemonCount;
    this.contracts = contracts ?? [
      ...['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep'],
      'sharing',
    ];
    this.folder = mkdtempSync(join(tmpdir(), 'rattanlift-'));
    this.startedAtMs = performance.now();
    this.record = createWriteStream(recordFile);
    this.store = new StorePlatform();
  }

  /** Writes a line of the record. */
  note(...parts) {
    const atS = ((performance.now() - this.startedAtMs) / 1_000).toFixed(3).padStart(8);
    const text = parts.map((part) => (typeof part === 'string' ? part : JSON.stringify(part)));
    this.record.write(`${atS} ${text.join(' ')}\n`);
  }

  address(index) {
    return `${this.subnet}.${index}`;
  }

  async start({ config, machines = [] }) {
    await this.chooseAddresses();
    this.machines = machines;
    await this.store.listen(this.address(1), this.port);
    await this.listenMachines();
    this.putConfig(config);
  }

  /** Chooses a loopback range and a port that nobody uses. */
  async chooseAddresses() {
    this.subnet = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
    this.port = randomInt(20_000, 30_000);
    const checks = await Promise.all(
      [1, 2, 11, 12, 13].map((index) => isFree(this.address(index), this.port)),
    );
    if (checks.includes(false)) await this.chooseAddresses();
  }

  putConfig(config) {
    this.configVersion += 3;
    const limits = {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    };
    this.store.put('keyed.op', 'config', { version: this.configVersion, limits, ...config });
    this.note('operator: configuration', this.configVersion, 'acknowledged', config);
  }

  async listenMachines() {
    this.machineServer = createServer((request, response) => {
      request.resume();
      const isList = request.method === 'GET';
      const machines = this.machines.map((machine) => ({
        ...machine,
        state: machine.executor.isDown ? 'down' : 'up',
        id: machine.executor.isDown ? '' : machine.executor.id,
        executor: undefined,
      }));
      response.writeHead(isList ? 200 : 409, { 'content-type': 'application/json' });
      response.end(JSON.stringify(isList ? { machines, next_token: null } : { reason: 'busy' }));
    });
    await new Promise((resolve) => {
      this.machineServer.listen(this.port, this.address(2), resolve);
    });
  }

  async addExecutor({ pool, capacity = { cpu: 16_000, mem_mb: 32_768, gpu: 0 }, rack = 'r1-1' }) {
    const index = this.executors.length;
    const executor = new Executor({
      id: `i-${randomBytes(4).toString('hex')}`,
      host: this.address(100 + index),
      port: this.port,
      zone: 'hall-a',
      labels: ['a', rack],
      pool,
      capacity,
      store: this.store,
      describeTask: (task) => this.describeTask(task),
      log: (what, id, task, run, more) => this.noteRun(what, id, task, run, more),
    });
    this.executors.push(executor);
    this.machines.push({
      machine: `m-${index}`,
      pool,
      zone: 'hall-a',
      labels: ['a', rack],
      free_capacity: capacity,
      executor,
    });
    await executor.start();
    return executor;
  }

  /** Crashes an executor whose process is started again soon, under the id that it had. */
  async restartExecutor(executor, afterMs) {
    this.note(`executor ${executor.id}: crashes`);
    executor.crash();
    await sleep(afterMs);
    await executor.restart(executor.id);
    this.note(`executor ${executor.id}: started again under the same id`);
  }

  noteRun(what, id, task, run, more = {}) {
    this.events.push({ atMs: performance.now() - this.startedAtMs, what, id, task, run, ...more });
    this.note(`executor ${id}:`, what, task, `run ${run}`, more);
  }

  describeTask(name) {
    const [jobId, , step] = name.split('.');
    const job = this.jobs.get(jobId);
    const { cpu = 0 } = job?.body.steps[Number(step)] ?? {};
    return { durationMs: job?.durationMs ?? 500, end: job?.end, demand: { cpu } };
  }

  async startDaemons() {
    await Promise.all(
      Array.from({ length: this.daemonCount }, (_daemon, index) => this.startDaemon(index)),
    );
    await this.whenReady();
  }

  startDaemon(index) {
    const host = this.address(11 + index);
    const fields = {
      node_name: `frontend-hall-a-${index + 1}`,
      ip: host,
      zone: 'hall-a',
      internal_ports: [this.port + 1, this.port + 16],
      listen_addrs: { frontend: `${host}:${this.port}`, ready: `${host}:${this.port + 20}` },
      limits: { cpu_share: 0.675, cores: 1, link_mbps: 1000 },
      bounds: BOUNDS,
      contracts: this.contracts,
      platform: {
        address: `${this.address(1)}:${this.port}`,
        parts: 16,
        record_bytes: 262_144,
        ttl_min_ms: 1_000,
      },
      cloud_api: { address: `${this.address(2)}:${this.port}` },
    };
    const template = readFileSync(join(ROOT, 'deploy', 'settings.jsonc'), 'utf8');
    const file = join(this.folder, `daemon-${index + 1}.conf`);
    writeFileSync(file, renderTemplate(template, fields));
    const { PATH, HOME, LANG } = process.env;
    const child = spawn('node', ['--max-old-space-size=128', 'target/rattanliftd.cjs'], {
      cwd: ROOT,
      env: { PATH, HOME, LANG, RATTANLIFT_SETTINGS: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const daemon = { index, host, child, exit: undefined, log: '', errorText: '' };
    child.stdout.on('data', (chunk) => {
      daemon.log = (daemon.log + chunk.toString('utf8')).slice(-LOG_LENGTH);
    });
    child.stderr.on('data', (chunk) => {
      const fatal = /^FATAL ERROR.*$/m.exec(chunk.toString('utf8'))?.[0];
      daemon.errorText = fatal ?? daemon.errorText;
    });
    child.on('exit', (code, signal) => {
      daemon.exit = { code, signal, atMs: performance.now() - this.startedAtMs };
      if (this.isStopping) return;
      this.note(`daemon ${index + 1}: ended by itself`, { code, signal }, daemon.errorText.trim());
      this.selfEnds.push({ index, atMs: daemon.exit.atMs });
      if (this.restartAfterMs !== undefined) void this.restartDaemon(index);
    });
    this.daemons[index] = daemon;
    this.note(`daemon ${index + 1}: started`, { pid: child.pid, host });
    return daemon;
  }

  async restartDaemon(index) {
    await sleep(this.restartAfterMs);
    if (!this.isStopping) this.startDaemon(index);
  }

  async whenReady() {
    const untilMs = performance.now() + READY_WAIT_MS;
    let isReady = false;
    while (!isReady && performance.now() < untilMs) {
      await sleep(100);
      const answers = await Promise.all(
        this.daemons.map(({ host }) =>
          this.send({ host, port: this.port + 20, path: '/api/ready' }),
        ),
      );
      isReady = answers.every(({ status }) => status === 200);
    }
    if (!isReady) throw new Error('The daemons did not get ready.');
  }

  /** Sends a request; the status is 0 where no whole answer came. */
  send({ host, port = this.port, method = 'GET', path, hostName, body, timeoutMs = 3_000 }) {
    return new Promise((resolve) => {
      const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const headers = { ...(hostName && { host: hostName }) };
      if (bytes !== undefined) {
        Object.assign(headers, {
          'content-type': 'application/json',
          'content-length': bytes.length,
        });
      }
      const request = httpRequest(
        { host, port, method, path, headers, agent: false },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => resolve({ status: 0, reason: 'broken' }));
          response.on('end', () => {
            resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8') });
          });
        },
      );
      request.setTimeout(timeoutMs, () => request.destroy(new Error('timeout')));
      request.on('error', (error) => resolve({ status: 0, reason: error.code ?? error.message }));
      request.end(bytes);
    });
  }

  /** Sends a caller's request to a daemon and writes both into the record. */
  async call(daemonIndex, method, route, jobId, body) {
    const { host } = this.daemons[daemonIndex];
    const path = `${route.path_prefix}${jobId}`;
    this.note(`client: ${method} ${path} to daemon ${daemonIndex + 1}`, body ?? '');
    const answer = await this.send({ host, method, path, hostName: route.host, body });
    this.note(`client: ${method} ${path} answered`, answer);
    return answer;
  }

  /** Hands a job in, and repeats it under the same id like a requester with four retries. */
  async submit(route, body, { durationMs = 500, end, jobId = createJobId(), daemon = 0 } = {}) {
    this.jobs.set(jobId, { body, durationMs, end });
    const statuses = [];
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const index = (daemon + attempt) % this.daemons.length;
      const { status } = await this.call(index, 'POST', route, jobId, body);
      statuses.push(status);
      if (status === 200 || status === 404 || status === 400 || status === 413) break;
      await sleep(200);
    }
    return { jobId, statuses, isAccepted: statuses.at(-1) === 200 };
  }

  async getState(route, jobId, daemon = 0) {
    const answer = await this.call(daemon, 'GET', route, jobId);
    const state = answer.status === 200 ? JSON.parse(answer.text).state : undefined;
    return { ...answer, state };
  }

  /** Ends every process that was started, and all stand-ins. */
  async stop() {
    this.isStopping = true;
    this.daemons.forEach(({ child, exit }) => exit ?? child.kill('SIGKILL'));
    await waitFor(() => this.daemons.every(({ exit }) => exit !== undefined), 5_000, 20);
    this.executors.forEach((executor) => executor.stop());
    this.store.close();
    this.machineServer.closeAllConnections();
    this.machineServer.close();
    rmSync(this.folder, { recursive: true, force: true });
    await new Promise((resolve) => {
      this.record.end(resolve);
    });
  }
}
