import { Client, type Dispatcher, Pool } from 'undici';
import { z } from 'zod';
import { HttpJsonClient, type JsonAnswer, type JsonRequest } from '../utils/index.js';
import type {
  TargetAddress,
  TargetPort,
  TargetStatus,
  TaskRequest,
  TaskResult,
} from './TargetPort.js';
import { TaskExchange } from './TaskExchange.js';
import { TASK_HEADERS } from './taskHeaders.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_CONTROL_TIMEOUT_MS = 1000;
const DEFAULT_IDLE_LIMIT_MS = 4000;
const HTTP_OK = 200;

const statusSchema = z
  .object({
    bootId: z.string(),
    draining: z.boolean(),
    runningTaskIds: z.array(z.string()).readonly(),
    usedCoreCount: z.number(),
    usedMemoryMb: z.number(),
  })
  .readonly();

/** Options of {@link HttpTargetPort}. */
export interface HttpTargetPortOptions {
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Longest wait for the answer to a status or control call, in milliseconds. */
  readonly controlTimeoutMs?: number;
  /**
   * Idle time after which a connection is not reused, in milliseconds. It has to be shorter than
   * the idle timeout of any middlebox between this process and the targets.
   */
  readonly idleLimitMs?: number;
}

/** Connections to one target. */
interface TargetConnections {
  readonly tasks: Pool;
  readonly controls: HttpJsonClient;
}

/** Runs tasks on targets over HTTP. Each call sends its task at most once. */
export class HttpTargetPort implements TargetPort {
  private readonly connectTimeoutMs: number;

  private readonly controlTimeoutMs: number;

  private readonly idleLimitMs: number;

  private readonly connections = new Map<string, TargetConnections>();

  /**
   * Creates a client for all targets.
   * @param options - Limits; an omitted limit takes its default.
   */
  constructor(options: HttpTargetPortOptions = {}) {
    this.connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    this.controlTimeoutMs = options.controlTimeoutMs ?? DEFAULT_CONTROL_TIMEOUT_MS;
    this.idleLimitMs = options.idleLimitMs ?? DEFAULT_IDLE_LIMIT_MS;
  }

  /** {@inheritDoc TargetPort.run} */
  async run(target: TargetAddress, task: TaskRequest): Promise<TaskResult> {
    if (task.signal?.aborted) return { type: 'not-started', reason: 'The request was cancelled.' };
    const dispatcher = task.freshConnection
      ? this.createClient(target)
      : this.getConnections(target).tasks;
    const ended = new AbortController();
    const exchange = new TaskExchange({
      connectTimeoutMs: this.connectTimeoutMs,
      silenceLimitMs: task.silenceLimitMs,
      onSilent: () => this.retireConnections(target, dispatcher),
      onEnded: () => {
        ended.abort();
        if (dispatcher instanceof Client) void dispatcher.close().catch(() => undefined);
      },
    });
    const onAbort = () => {
      if (exchange.cancel()) void this.control(target, task.taskId, 'stop');
    };
    task.signal?.addEventListener('abort', onAbort, { once: true, signal: ended.signal });
    HttpTargetPort.dispatch(dispatcher, task, exchange);
    return exchange.result;
  }

  /** {@inheritDoc TargetPort.getStatus} */
  async getStatus(target: TargetAddress): Promise<TargetStatus | undefined> {
    const answer = await this.send(target, { method: 'GET', path: '/v1/status' });
    if (answer?.httpStatus !== HTTP_OK) return undefined;
    const parsed = statusSchema.safeParse(answer.body);
    return parsed.success ? parsed.data : undefined;
  }

  /** {@inheritDoc TargetPort.control} */
  async control(
    target: TargetAddress,
    taskId: string,
    action: 'checkpoint' | 'throttle' | 'unthrottle' | 'stop',
  ): Promise<boolean> {
    const path = `/v1/tasks/${encodeURIComponent(taskId)}/${action}`;
    const answer = await this.send(target, { method: 'POST', path, body: {} });
    return answer?.httpStatus === HTTP_OK;
  }

  /** {@inheritDoc TargetPort.renewLease} */
  async renewLease(
    target: TargetAddress,
    taskId: string,
    leaseDeadlineMs: number,
  ): Promise<boolean> {
    const path = `/v1/tasks/${encodeURIComponent(taskId)}/lease`;
    const answer = await this.send(target, { method: 'PUT', path, body: { leaseDeadlineMs } });
    return answer?.httpStatus === HTTP_OK;
  }

  /** Closes every connection. Exchanges in progress fail. */
  async close(): Promise<void> {
    const closing = [...this.connections.values()];
    this.connections.clear();
    await Promise.all(
      closing.flatMap(({ tasks, controls }) => [tasks.destroy(), controls.close()]),
    );
  }

  private static dispatch(dispatcher: Dispatcher, task: TaskRequest, exchange: TaskExchange): void {
    const options: Dispatcher.DispatchOptions = {
      method: 'POST',
      path: '/v1/tasks',
      headers: {
        'content-type': task.contentType,
        [TASK_HEADERS.taskId]: task.taskId,
        [TASK_HEADERS.requestId]: task.requestId,
        [TASK_HEADERS.jobKind]: task.jobKind,
        [TASK_HEADERS.coreCount]: String(task.coreCount),
        [TASK_HEADERS.memoryMb]: String(task.memoryMb),
        [TASK_HEADERS.leaseDeadlineMs]: String(task.leaseDeadlineMs),
      },
      body: task.body,
      reset: task.freshConnection,
      // TaskExchange enforces the silence limit itself, with millisecond precision.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    try {
      dispatcher.dispatch(options, exchange);
    } catch (error) {
      exchange.onResponseError(undefined, error as Error);
    }
  }

  private getConnections(target: TargetAddress): TargetConnections {
    const key = HttpTargetPort.keyOf(target);
    const existing = this.connections.get(key);
    if (existing !== undefined) return existing;
    const created = {
      tasks: new Pool(HttpTargetPort.originOf(target), this.connectionOptions()),
      controls: new HttpJsonClient({
        host: target.host,
        port: target.port,
        connectTimeoutMs: this.connectTimeoutMs,
        idleLimitMs: this.idleLimitMs,
      }),
    };
    this.connections.set(key, created);
    return created;
  }

  private createClient(target: TargetAddress): Client {
    return new Client(HttpTargetPort.originOf(target), this.connectionOptions());
  }

  private connectionOptions() {
    return {
      pipelining: 1,
      keepAliveTimeout: this.idleLimitMs,
      // Caps the timeout that a target may request in its Keep-Alive header.
      keepAliveMaxTimeout: this.idleLimitMs,
      connect: { timeout: this.connectTimeoutMs },
    };
  }

  // Guards against a middlebox that drops the state of connections. When one connection of the
  // pool goes silent, the others may be dead too, while a new one may work. No new request uses
  // the old connections. Requests in progress continue under their own silence limits.
  private retireConnections(target: TargetAddress, dispatcher: Dispatcher): void {
    const key = HttpTargetPort.keyOf(target);
    const existing = this.connections.get(key);
    if (existing?.tasks !== dispatcher) return;
    this.connections.delete(key);
    void existing.tasks.close().catch(() => undefined);
    void existing.controls.close().catch(() => undefined);
  }

  // Status and control calls are idempotent. The client drops its connections after a failure, so
  // the retry uses a new one. This distinguishes a dead connection from a dead target.
  private async send(
    target: TargetAddress,
    request: Omit<JsonRequest, 'timeoutMs'>,
  ): Promise<JsonAnswer | undefined> {
    const requestWithTimeout = { ...request, timeoutMs: this.controlTimeoutMs };
    const { controls } = this.getConnections(target);
    try {
      return await controls.send(requestWithTimeout);
    } catch {
      return this.getConnections(target)
        .controls.send(requestWithTimeout)
        .catch(() => undefined);
    }
  }

  private static keyOf(target: TargetAddress): string {
    return `${target.host}:${target.port}`;
  }

  private static originOf(target: TargetAddress): string {
    return `http://${HttpTargetPort.keyOf(target)}`;
  }
}
