import { createServer, type Server } from 'node:net';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpTargetPort, type TargetAddress, type TaskRequest } from '../../src/targets/index.js';
import { type TargetFaults, TargetStandIn } from '../../standins/targets/index.js';
import { makeFleet, TcpForwarder } from '../support/index.js';

const VM = 'vm-001';
const LONG_RUN_MS = 60_000;
const LEASE_MS = 120_000;
const SILENCE_LIMIT_MS = 300;

let targets: TargetStandIn;
let forwarder: TcpForwarder;
let port: HttpTargetPort;
let address: TargetAddress;
let taskCount: number;

function makeTask(changes: Partial<TaskRequest> = {}): TaskRequest {
  taskCount += 1;
  return {
    taskId: `task-${taskCount}`,
    requestId: `request-${taskCount}`,
    jobKind: 'page-save',
    coreCount: 1,
    memoryMb: 100,
    contentType: 'application/json',
    body: Buffer.from('{}'),
    freshConnection: false,
    leaseDeadlineMs: Date.now() + LEASE_MS,
    silenceLimitMs: SILENCE_LIMIT_MS,
    ...changes,
  };
}

function listEndings(): readonly string[] {
  return targets.listStarts().map((start) => start.ending);
}

async function readAnswer(task: TaskRequest): Promise<string> {
  const result = await port.run(address, task);
  if (result.type !== 'answering') throw new Error(JSON.stringify(result));
  return text(result.body);
}

beforeEach(async () => {
  taskCount = 0;
  const vms = makeFleet({
    workerCount: 1,
    vmCountPerWorker: 1,
    workerCountPerRack: 1,
    dataCentres: ['dc-a'],
  });
  targets = new TargetStandIn({ vms, defaultRunMs: 1, rebootMs: 1, usageLagMs: 0 });
  await targets.start();
  forwarder = new TcpForwarder(targets.getAddressOrThrow(VM).port);
  await forwarder.start();
  port = new HttpTargetPort({ controlTimeoutMs: 300 });
  address = { vm: VM, host: '127.0.0.1', port: forwarder.port };
});

afterEach(async () => {
  await port.close();
  await forwarder.stop();
  await targets.stop();
});

describe('run', () => {
  async function doTest(faults: Partial<TargetFaults>, expected: unknown): Promise<void> {
    await targets.setFaults(VM, faults);
    expect(await port.run(targets.getAddressOrThrow(VM), makeTask())).toMatchObject(
      expected as object,
    );
  }

  it('answers with the whole echo of its own request', async () => {
    const answer = JSON.parse(await readAnswer(makeTask())) as object;
    expect(answer).toMatchObject({ requestId: 'request-1', taskId: 'task-1', vm: VM });
  });

  it('passes a failed task on as its answer', () =>
    doTest({ failing: true }, { type: 'answering', httpStatus: 500 }));

  // A VM is down. The job may run elsewhere, because a refused connection proves that no byte of
  // the request was sent.
  it('reports not-started if the connection is refused', () =>
    doTest({ crashed: true }, { type: 'not-started' }));

  // The platform drains a VM while a grant for it is in transit. The target reports that it refused
  // the task, so the job may run elsewhere.
  it('reports not-started if the target reports it', async () => {
    targets.setDraining(VM, true);
    await doTest({}, { type: 'not-started', reason: 'draining' });
    expect(targets.listStarts()).toEqual([]);
  });

  // The target accepts the request of a field crew's page save and never answers. The task may have
  // run, so it must not be reported as not started.
  it('reports unknown if the target is silent after the request was sent', () =>
    doTest({ silent: true }, { type: 'unknown', reason: 'silent' }));

  // A VM reboots under a running task: the connection breaks before any answer.
  it('reports unknown if the connection breaks after the request was sent', async () => {
    const answer = port.run(address, makeTask({ body: Buffer.from(`{"runMs":${LONG_RUN_MS}}`) }));
    await expect.poll(listEndings).toEqual(['running']);
    forwarder.cutAll();
    expect(await answer).toEqual({ type: 'unknown', reason: 'connection-lost' });
    expect(listEndings()).toEqual(['running']);
  });

  // A target fails in the middle of an answer. The caller must see an error; otherwise a truncated
  // committee pack would look complete and be read out in the meeting.
  it('emits an error on the body if the answer is truncated', async () => {
    await targets.setFaults(VM, { cutAnswers: true });
    await expect(readAnswer(makeTask())).rejects.toMatchObject({ kind: 'answer-cut' });
  });

  // A middlebox drops the state of idle connections: requests on them get no answer, while a new
  // connection works. The first request stays unknown, but the next one must not use another dead
  // connection.
  it('does not use old connections again after one went silent', async () => {
    await Promise.all([readAnswer(makeTask()), readAnswer(makeTask())]);
    await nextTurn(); // Lets the pool release its connections.
    forwarder.silenceOpen();
    const results = [await port.run(address, makeTask()), await port.run(address, makeTask())];
    expect(results.map((result) => result.type)).toEqual(['unknown', 'answering']);
    expect(targets.listStarts()).toHaveLength(3);
  });

  // The same middlebox fault, but the job is a donation receipt. It must not be sent on a
  // connection that may be dead, because its outcome would stay unknown.
  it('opens a new connection if the task asks for one', async () => {
    await readAnswer(makeTask());
    await nextTurn(); // Lets the pool release its connection.
    forwarder.silenceOpen();
    const answer = await readAnswer(makeTask({ freshConnection: true }));
    expect(JSON.parse(answer)).toMatchObject({ requestId: 'request-2' });
  });

  it('sees interim answers of a long task as progress', async () => {
    await targets.stop();
    targets = new TargetStandIn({
      vms: [targets.listVms()[0]!].map(
        ({ host: _h, port: _p, state: _s, bootId: _b, ...vm }) => vm,
      ),
      defaultRunMs: SILENCE_LIMIT_MS * 3,
      progressIntervalMs: 30,
    });
    await targets.start();
    const result = await port.run(targets.getAddressOrThrow(VM), makeTask());
    expect(result.type).toBe('answering');
  });

  // A caller cancels before the request is sent. Nothing may reach the target afterwards.
  it('reports not-started if the task is cancelled before it is sent', async () => {
    const abort = new AbortController();
    const answer = port.run(address, makeTask({ signal: abort.signal }));
    abort.abort();
    expect(await answer).toMatchObject({ type: 'not-started' });
    await readAnswer(makeTask());
    expect(targets.listStarts().map((start) => start.requestId)).toEqual(['request-2']);
  });

  // A caller cancels a running job. The result is unknown at once, and the slot becomes free.
  it('stops the task where it is cancelled after it was sent', async () => {
    const abort = new AbortController();
    const body = Buffer.from(`{"runMs":${LONG_RUN_MS}}`);
    const answer = port.run(address, makeTask({ signal: abort.signal, body }));
    await expect.poll(listEndings).toEqual(['running']);
    abort.abort();
    expect(await answer).toEqual({ type: 'unknown', reason: 'cancelled' });
    await expect.poll(listEndings).toEqual(['stopped']);
  });

  describe('against another implementation of a target', () => {
    let server: Server;
    afterEach(() => {
      server.close();
    });

    async function runAgainst(answer: string): Promise<Readable> {
      server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => socket.end(answer));
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port: otherPort } = server.address() as { port: number };
      const result = await port.run({ ...address, port: otherPort }, makeTask());
      if (result.type !== 'answering') throw new Error(JSON.stringify(result));
      return result.body;
    }

    // A failing target closes the connection during an answer that has neither a content length nor
    // chunked encoding. Truncation looks like a normal end, so the answer never counts as complete.
    it('emits an error on the body of an answer without a declared length', async () => {
      const body = await runAgainst('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
      await expect(text(body)).rejects.toMatchObject({ kind: 'answer-cut' });
    });

    it('emits an error on the body if chunked encoding ends early', async () => {
      const body = await runAgainst(
        'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
      );
      await expect(text(body)).rejects.toMatchObject({ kind: 'answer-cut' });
    });
  });
});

describe('control', () => {
  async function startLongTask(): Promise<void> {
    const body = Buffer.from(`{"runMs":${LONG_RUN_MS}}`);
    void port.run(address, makeTask({ body, silenceLimitMs: LONG_RUN_MS }));
    await expect.poll(listEndings).toEqual(['running']);
  }

  it('stops a running task and does not confirm a stop of an unknown one', async () => {
    await startLongTask();
    expect(await port.control(address, 'task-1', 'stop')).toBe(true);
    expect(await port.control(address, 'task-1', 'stop')).toBe(false);
    expect(listEndings()).toEqual(['stopped']);
  });

  it('throttles a task to a quarter of its cores', async () => {
    await startLongTask();
    expect(await port.control(address, 'task-1', 'throttle')).toBe(true);
    expect(await port.getStatus(address)).toMatchObject({ usedCoreCount: 0.25 });
  });

  // A renewal is sent on a connection whose state a middlebox has dropped. Without a retry on a new
  // connection, the lease would lapse and the target would stop a healthy task.
  it('renews a lease past a connection that went silent', async () => {
    await startLongTask();
    await port.getStatus(address);
    forwarder.silenceOpen();
    expect(await port.renewLease(address, 'task-1', Date.now() + LEASE_MS)).toBe(true);
  });

  it('lets the target stop a task whose lease has lapsed', async () => {
    await startLongTask();
    expect(await port.renewLease(address, 'task-1', Date.now())).toBe(true);
    await expect.poll(listEndings).toEqual(['lease-lapsed']);
  });
});

describe('getStatus', () => {
  it('returns undefined for a target that is down', async () => {
    await targets.setFaults(VM, { crashed: true });
    expect(await port.getStatus(address)).toBeUndefined();
  });
});
