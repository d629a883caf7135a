import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const HEARTBEAT_MS = 1_500;
const LIST_LIMIT = 500;
const MAX_HOLD_MS = 10_000;
const MAX_HOLD_WAIT_MS = 2_000;
const TICK_MS = 20;
const STOP_MS = 50;

/**
 * A small stand-in for an executor: it runs work items for their time under a lease, keeps what has
 * ended until it is taken note of, and reports itself in the store.
 */
export class Executor {
  /**
   * @param options.store - Store in which it reports itself.
   * @param options.describeTask - Gives the duration of a work item's run, and how it ends.
   * @param options.log - Takes a line for each start and each end.
   */
  constructor(options) {
    this.options = options;
    this.reset(options.id);
  }

  get id() {
    return this.currentId;
  }

  /** Begins a lifetime: nothing runs, no fence number was seen, and all counts start anew. */
  reset(id) {
    this.currentId = id;
    this.bornAtUnixMs = Date.now();
    this.bornAtMs = performance.now();
    this.fence = 0;
    this.leaseUntilMs = 0;
    this.runs = new Map();
    this.refusedUpTo = new Map();
    this.ends = [];
    this.endCount = 0;
    this.sequence = 0;
    this.waiters = new Set();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.bornAtMs) + 1;
  }

  async start() {
    const { host, port } = this.options;
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject).listen(port, host, resolve);
    });
    this.heartbeat();
    this.heartbeatTimer = setInterval(() => this.heartbeat(), HEARTBEAT_MS);
    this.tickTimer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Ends the lifetime as a crash does: everything is gone, and open channels are reset. */
  crash() {
    clearInterval(this.heartbeatTimer);
    clearInterval(this.tickTimer);
    [...this.runs.values()].forEach((run) =>
      this.options.log('killed', this.id, run.task, run.run),
    );
    this.runs.clear();
    this.isDown = true;
    this.server.closeAllConnections();
    this.server.close();
  }

  async restart(id) {
    this.reset(id);
    this.isDown = false;
    await this.start();
  }

  stop() {
    if (!this.isDown) this.crash();
  }

  heartbeat() {
    const { host, port, pool, capacity, labels, zone, store } = this.options;
    this.sequence += 1;
    store.put('keyed.servers', this.id, {
      backend: pool,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      capacity: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      free_capacity: capacity,
      labels,
      clock_ms: this.clockMs,
      born: this.bornAtUnixMs,
      sequence: this.sequence,
    });
  }

  handle(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const send = (status, value) => {
        response.writeHead(status, { 'content-type': 'application/json' });
        response.end(JSON.stringify({ clock_ms: this.clockMs, ...value }));
      };
      if (request.url === '/health') {
        response.writeHead(200, { 'instance-id': this.id }).end();
        return;
      }
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        send(421, {});
        return;
      }
      const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
      if ((body.fencing_token ?? 0) < this.fence) {
        send(409, { reason: 'fence' });
        return;
      }
      this.fence = body.fencing_token ?? 0;
      if (request.url === '/api/run-start') this.startRun(body, send);
      else if (request.url === '/api/run-stop') this.stopRun(body, send);
      else if (request.url === '/api/hold') this.hold(body, send);
      else if (request.url === '/api/pace') send(200, {});
      else send(404, {});
    });
  }

  extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const longest = this.clockMs + MAX_HOLD_MS;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, longest));
  }

  startRun({ task, run, spec, checkpoint, deadline_ms: deadlineMs }, send) {
    const running = this.runs.get(task);
    if (running?.run === run) {
      this.extend(deadlineMs);
      send(200, {});
      return;
    }
    if (run <= (this.refusedUpTo.get(task) ?? 0) || (running?.run ?? 0) >= run) {
      this.extend(deadlineMs);
      send(409, { reason: 'old' });
      return;
    }
    if (deadlineMs <= this.clockMs) {
      send(409, { reason: 'late' });
      return;
    }
    const { demand, durationMs, end } = this.options.describeTask(task);
    const used = [...this.runs.values()].reduce((sum, each) => sum + each.demand.cpu, 0);
    if (used + demand.cpu > this.options.capacity.cpu) {
      this.extend(deadlineMs);
      send(409, { reason: 'room' });
      return;
    }
    this.extend(deadlineMs);
    const begunAtMs = performance.now();
    const endsAtMs = begunAtMs + durationMs;
    this.runs.set(task, { task, run, begunAtMs, endsAtMs, end, demand, durationMs });
    this.options.log('start', this.id, task, run, { spec, checkpoint });
    send(200, {});
  }

  stopRun({ task, run }, send) {
    this.refusedUpTo.set(task, Math.max(run, this.refusedUpTo.get(task) ?? 0));
    const running = this.runs.get(task);
    if (running?.run === run) running.stopAtMs ??= performance.now() + STOP_MS;
    send(200, {});
  }

  hold(body, send) {
    const { ack_offset: ackOffset = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 } = body;
    this.extend(deadlineMs);
    this.ends
      .filter(([number]) => number <= ackOffset)
      .forEach(([number, task, run, how]) => {
        this.options.log('acknowledged', this.id, task, run, { number, how, ackOffset });
      });
    this.ends = this.ends.filter(([number]) => number > ackOffset);
    // An end below the acknowledged number is taken note of as soon as it is listed.
    this.ackOffset = Math.max(ackOffset, this.ackOffset ?? 0);
    const answer = () => {
      const running = [...this.runs.values()].map((each) => {
        const share = (performance.now() - each.begunAtMs) / each.durationMs;
        const percent = Math.max(1, Math.min(99, Math.floor(share * 100)));
        return [each.task, each.run, '', percent, each.demand.cpu];
      });
      send(200, { born: this.bornAtUnixMs, running, ended: this.ends.slice(0, LIST_LIMIT) });
    };
    if (this.ends.length > 0 || waitMs === 0) {
      answer();
      return;
    }
    let timer;
    const wake = () => {
      this.waiters.delete(wake);
      clearTimeout(timer);
      answer();
    };
    timer = setTimeout(wake, Math.min(waitMs, MAX_HOLD_WAIT_MS));
    this.waiters.add(wake);
  }

  tick() {
    const nowMs = performance.now();
    const hasLapsed = this.runs.size > 0 && this.clockMs > this.leaseUntilMs;
    [...this.runs.values()].forEach((run) => {
      if (hasLapsed) this.endRun(run, 'lapsed');
      else if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) this.endRun(run, 'stopped');
      else if (nowMs >= run.endsAtMs) this.endRun(run, run.end ?? 'done');
    });
  }

  endRun({ task, run }, how) {
    this.runs.delete(task);
    this.refusedUpTo.set(task, Math.max(run, this.refusedUpTo.get(task) ?? 0));
    this.endCount += 1;
    this.ends.push([this.endCount, task, run, how, '']);
    this.options.log('end', this.id, task, run, { how, number: this.endCount });
    [...this.waiters].forEach((wake) => wake());
  }
}
