/* eslint-disable class-methods-use-this, max-classes-per-file, no-param-reassign,
   no-use-before-define -- a small stand-in in one file */
/**
 * A small stand-in of an executor and of its machine. The text `spec` of a job tells, as JSON, what
 * its work items do: `ms` (work), `lasts` (its startup in ms, if it lasts until
 * it is stopped), `saves` (whether a checkpoint is kept each second), `gang` (how
 * many members work together), `saveBytes` (length of a checkpoint).
 */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { readBody, sendJson } from './Store.mjs';

const CHECKPOINT_MS = 1_000;
const CHECKPOINT_DIGITS = 16;
const MAX_LISTED_ENDS = 500;
const TICK_MS = 20;
const FAILS_AFTER_MS = 200;
/** Time after which the other members of a gang know that one has ended. */
const GANG_NEWS_MS = 50;

/** The members of gangs that have begun, by gang and run, over all executors. */
class Gangs {
  byName = new Map();

  static nameOf(task, run) {
    return `${task.split('.').slice(0, 3).join('.')}#${run}`;
  }

  join(entry) {
    const name = Gangs.nameOf(entry.task, entry.run);
    const gang = this.byName.get(name) ?? { members: new Set(), completeAtMs: undefined };
    this.byName.set(name, gang);
    gang.members.add(entry);
    if (gang.members.size === entry.job.gang) gang.completeAtMs = performance.now();
    return gang;
  }
}

const gangs = new Gangs();

export class Executor {
  /**
   * `undefined`; `unhealthy`: starts are answered 503, and nothing is done; or `failing`: it fails
   * all that it starts.
   */
  fault = undefined;

  /** How fast the steady clock goes. */
  clockRate = 1;

  /**
   * Fences of the calls that get through; the paths to the machines that send others are cut, which
   * gives them no answer.
   */
  fencesThrough = { from: 0, to: Infinity };

  constructor({ id, machine, pool, zone, rack, capacity, bounds, log }) {
    Object.assign(this, { id, machine, pool, zone, rack, capacity, bounds, log });
    this.bornMs = performance.now();
    this.running = new Map();
    this.ended = [];
    this.lastEnd = 0;
    this.highestEndedRun = new Map();
    this.highestFence = 0;
    this.leaseUntilMs = 0;
    this.sequence = 0;
    this.sockets = new Set();
    this.holds = new Set();
    this.isDown = false;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 120_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  listen(host) {
    return new Promise((resolve) => {
      this.server.listen(0, host, () => {
        this.address = `${host}:${this.server.address().port}`;
        resolve();
      });
    });
  }

  get clockMs() {
    return Math.floor((performance.now() - this.bornMs) * this.clockRate);
  }

  get entry() {
    this.sequence += 1;
    return {
      backend: this.pool,
      address: this.address,
      zone: this.zone,
      version: '1',
      capacity: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: this.sequence,
      free_capacity: this.capacity,
      labels: ['a', this.rack],
    };
  }

  /** Crashes: connections are reset, nothing answers and nothing runs any more. */
  crash() {
    if (this.isDown) return;
    this.isDown = true;
    clearInterval(this.timer);
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.log({ event: 'crashed', executor: this.id, running: [...this.running.keys()] });
    this.running.clear();
  }

  async handle(request, response) {
    const body = JSON.parse(await readBody(request));
    const { from, to } = this.fencesThrough;
    if (this.isDown || body.fencing_token < from || body.fencing_token > to) return;
    const instance = request.headers['expect-instance'];
    if (instance !== undefined && instance !== this.id) {
      sendJson(response, 421);
      return;
    }
    this.tick();
    if (request.url === '/api/run-start') this.start(body, response);
    else if (request.url === '/api/run-stop') this.stop(body, response);
    else if (request.url === '/api/hold') await this.hold(body, response);
    else if (request.url === '/api/pace') this.answer(response, 200);
    else sendJson(response, 404);
  }

  answer(response, status, body = {}) {
    if (!this.isDown) sendJson(response, status, { clock_ms: this.clockMs, ...body });
  }

  takeFence(fence, response) {
    if (fence < this.highestFence) {
      this.answer(response, 409, { reason: 'fence' });
      return false;
    }
    this.highestFence = fence;
    return true;
  }

  extendLease(deadlineMs) {
    const longestMs = this.clockMs + this.bounds.hold_max_ms;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, longestMs));
  }

  start(
    { task, run, spec, deadline_ms: deadlineMs, fencing_token: fence = 0, checkpoint },
    response,
  ) {
    if (this.fault === 'unhealthy') {
      this.log({ event: 'start refused 503', executor: this.id, task, run });
      sendJson(response, 503);
      return;
    }
    if (!this.takeFence(fence, response)) return;
    this.extendLease(deadlineMs);
    if (this.running.get(task)?.run === run) {
      this.answer(response, 200);
      return;
    }
    if (run <= (this.highestEndedRun.get(task) ?? 0) || this.running.has(task)) {
      this.answer(response, 409, { reason: 'old' });
      return;
    }
    if (this.leaseUntilMs <= this.clockMs) {
      this.answer(response, 409, { reason: 'late' });
      return;
    }
    const job = JSON.parse(spec);
    const entry = {
      task,
      run,
      job,
      executor: this,
      startedAtMs: performance.now(),
      doneMs: 0,
      saved: '',
    };
    if (checkpoint !== undefined && checkpoint !== '') {
      entry.saved = checkpoint;
      entry.doneMs = Number.parseInt(checkpoint.slice(0, CHECKPOINT_DIGITS), 16) * CHECKPOINT_MS;
    }
    entry.resumedMs = entry.doneMs;
    entry.isFailing = this.fault === 'failing';
    this.running.set(task, entry);
    if (job.gang !== undefined) entry.gang = gangs.join(entry);
    this.log({ event: 'start', executor: this.id, task, run });
    this.answer(response, 200);
  }

  stop({ task, run, fencing_token: fence = 0 }, response) {
    if (!this.takeFence(fence, response)) return;
    const entry = this.running.get(task);
    if (entry?.run === run) this.end(entry, 'stopped');
    else this.noteEndedRun(task, run);
    this.answer(response, 200);
  }

  async hold(body, response) {
    const {
      fencing_token: fence = 0,
      ack_offset: acked = 0,
      deadline_ms: deadlineMs,
      wait_ms: waitMs = 0,
    } = body;
    if (!this.takeFence(fence, response)) return;
    if (deadlineMs !== undefined) this.extendLease(deadlineMs);
    this.ended = this.ended.filter(([number]) => number > acked);
    if (waitMs > 0 && this.ended.length === 0) await this.waitForEnd(Math.min(waitMs, 2_000));
    this.tick();
    const running = [...this.running.values()].map((entry) => [
      entry.task,
      entry.run,
      entry.saved,
      this.getPercent(entry),
      100,
    ]);
    this.answer(response, 200, { running, ended: this.ended.slice(0, MAX_LISTED_ENDS) });
  }

  waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.holds.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.holds.add(wake);
    });
  }

  getPercent({ job, doneMs }) {
    if (job.lasts !== undefined) return Math.min(100, Math.floor((100 * doneMs) / job.lasts));
    return Math.min(99, Math.floor((100 * doneMs) / job.ms));
  }

  /** Time that a work item has worked in this run; members of a gang work once all are present. */
  getWorkedMs({ gang, startedAtMs }) {
    const sinceMs = gang === undefined ? startedAtMs : gang.completeAtMs;
    return sinceMs === undefined ? 0 : performance.now() - sinceMs;
  }

  tick() {
    if (this.isDown) return;
    const isLapsed = this.leaseUntilMs <= this.clockMs;
    [...this.running.values()].forEach((entry) => {
      if (isLapsed) this.end(entry, 'lapsed');
      else if (entry.isFailing) this.failSoon(entry);
      else this.advance(entry);
    });
  }

  /** Every work item that began here in the fault fails by itself, whatever becomes of others. */
  failSoon(entry) {
    if (performance.now() - entry.startedAtMs >= FAILS_AFTER_MS) this.end(entry, 'failed');
  }

  advance(entry) {
    const { job, gang, startedAtMs, resumedMs } = entry;
    if (!this.running.has(entry.task)) return;
    const workedMs = this.getWorkedMs(entry);
    entry.doneMs = resumedMs + workedMs;
    if (job.saves === true && entry.doneMs >= CHECKPOINT_MS) {
      const seconds = Math.floor(entry.doneMs / CHECKPOINT_MS);
      const digits = seconds.toString(16).padStart(CHECKPOINT_DIGITS, '0');
      entry.saved = digits.padEnd(job.saveBytes ?? CHECKPOINT_DIGITS, entry.task);
    }
    const waitsAlone = gang !== undefined && gang.completeAtMs === undefined;
    if (waitsAlone && performance.now() - startedAtMs > this.bounds.gang_wait_ms) {
      this.end(entry, 'alone');
    } else if (entry.doneMs >= job.ms) this.finish(entry);
  }

  /** All members of a gang end `done` together. */
  finish(entry) {
    const members = entry.gang === undefined ? [entry] : [...entry.gang.members];
    members.forEach((member) => member.executor.end(member, 'done'));
  }

  noteEndedRun(task, run) {
    this.highestEndedRun.set(task, Math.max(run, this.highestEndedRun.get(task) ?? 0));
  }

  end(entry, how) {
    const { task, run, saved, gang } = entry;
    if (this.running.get(task) !== entry) return;
    this.running.delete(task);
    this.noteEndedRun(task, run);
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, task, run, how, how === 'done' ? '' : saved]);
    this.log({ event: 'end', executor: this.id, task, run, how });
    if (gang !== undefined && how !== 'done') {
      // A member that has ended by itself meanwhile keeps its own end.
      setTimeout(() => {
        gang.members.forEach((member) => member.executor.end(member, 'broken'));
      }, GANG_NEWS_MS);
    }
    [...this.holds].forEach((wake) => wake());
  }
}
