import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { z } from 'zod';
import { TASK_HEADERS, TASK_OUTCOMES } from '../../src/targets/index.js';
import { assertNever } from '../../src/utils/index.js';
import type { RunningTask } from './RunningTask.js';
import type { TargetsConfig } from './targetsConfig.js';
import type { TargetVm, TaskOrder } from './TargetVm.js';

const HOST = '127.0.0.1';
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const LISTEN_ATTEMPT_COUNT = 50;
const LISTEN_RETRY_MS = 100;

const headersSchema = z.object({
  [TASK_HEADERS.taskId]: z.string().min(1),
  [TASK_HEADERS.requestId]: z.string().min(1),
  [TASK_HEADERS.jobKind]: z.string().min(1),
  [TASK_HEADERS.coreCount]: z.coerce.number().positive(),
  [TASK_HEADERS.memoryMb]: z.coerce.number().positive(),
  [TASK_HEADERS.leaseDeadlineMs]: z.coerce.number(),
});
const leaseSchema = z.object({ leaseDeadlineMs: z.number() });
const runMsSchema = z.object({ runMs: z.number().nonnegative() });
const actionSchema = z.enum(['checkpoint', 'throttle', 'unthrottle', 'stop']);

type ActionRequest = FastifyRequest<{ Params: { taskId: string; action: string } }>;

function parseJson(body: unknown): unknown {
  try {
    return JSON.parse(String(body));
  } catch {
    return undefined;
  }
}

/** The HTTP endpoint of one VM. */
export class TargetServer {
  private readonly vm: TargetVm;

  private readonly config: TargetsConfig;

  private app: FastifyInstance | undefined;

  /** Port of the endpoint, the same over all boots; 0 before the first. */
  port = 0;

  /**
   * Creates an endpoint that does not listen yet.
   * @param vm - The VM behind it.
   * @param config - Run times and intervals.
   */
  constructor(vm: TargetVm, config: TargetsConfig) {
    this.vm = vm;
    this.config = config;
  }

  /** Starts to listen, on the former port where there was one. */
  async open(): Promise<void> {
    const app = await this.listen(LISTEN_ATTEMPT_COUNT);
    this.app = app;
    this.port = (app.server.address() as { port: number }).port;
  }

  /** Stops to listen and breaks off every connection. */
  async close(): Promise<void> {
    const { app } = this;
    this.app = undefined;
    await app?.close();
  }

  // Between two boots an outgoing connection of some process may hold the port for a moment.
  private async listen(attemptsLeft: number): Promise<FastifyInstance> {
    const app = this.createApp();
    try {
      await app.listen({ host: HOST, port: this.port });
      return app;
    } catch (error) {
      if (attemptsLeft <= 1) throw error;
      await sleep(LISTEN_RETRY_MS);
      return this.listen(attemptsLeft - 1);
    }
  }

  private createApp(): FastifyInstance {
    const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
    app.removeAllContentTypeParsers();
    app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
      done(null, body);
    });
    app.post('/v1/tasks', (request, reply) => this.runTask(request, reply));
    app.get('/v1/status', async () => this.vm.getStatus());
    app.get('/v1/starts', async () => this.vm.listStarts());
    app.put('/v1/tasks/:taskId/lease', (request: ActionRequest, reply) => {
      const { leaseDeadlineMs } = leaseSchema.parse(parseJson(request.body));
      return this.withTask(request, reply, (task) => task.renewLease(leaseDeadlineMs));
    });
    app.post('/v1/tasks/:taskId/:action', (request: ActionRequest, reply) => {
      const action = actionSchema.parse(request.params.action);
      return this.withTask(request, reply, (task) => this.act(task, action));
    });
    return app;
  }

  private async withTask(
    request: ActionRequest,
    reply: FastifyReply,
    act: (task: RunningTask) => void,
  ): Promise<FastifyReply> {
    const task = this.vm.getTask(request.params.taskId);
    if (task === undefined) return reply.code(404).send({ error: 'no such task' });
    act(task);
    return reply.send({});
  }

  private act(task: RunningTask, action: z.output<typeof actionSchema>): void {
    switch (action) {
      case 'checkpoint':
        this.vm.checkpoint(task);
        break;
      case 'throttle':
        this.vm.setThrottled(task, true);
        break;
      case 'unthrottle':
        this.vm.setThrottled(task, false);
        break;
      case 'stop':
        task.end('stopped');
        break;
      default:
        assertNever(action);
    }
  }

  private async runTask(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const parsed = headersSchema.safeParse(request.headers);
    if (!parsed.success) {
      return TargetServer.refuse(reply, z.prettifyError(parsed.error).replaceAll('\n', ' '));
    }
    const body = (request.body as Buffer | undefined) ?? Buffer.alloc(0);
    const order = this.readOrder(parsed.data, body);
    const refusal = this.vm.findRefusal(order);
    if (refusal !== undefined) return TargetServer.refuse(reply, refusal);
    const task = this.vm.startTask(order);
    if (this.vm.faults.silent) return reply.hijack();
    return this.answer(reply, order, task, body);
  }

  private readOrder(headers: z.output<typeof headersSchema>, body: Buffer): TaskOrder {
    const jobKind = headers[TASK_HEADERS.jobKind];
    const ownRunMs = runMsSchema.safeParse(parseJson(body)).data?.runMs;
    return {
      taskId: headers[TASK_HEADERS.taskId],
      requestId: headers[TASK_HEADERS.requestId],
      jobKind,
      coreCount: headers[TASK_HEADERS.coreCount],
      memoryMb: headers[TASK_HEADERS.memoryMb],
      leaseDeadlineMs: headers[TASK_HEADERS.leaseDeadlineMs],
      runMs: ownRunMs ?? this.config.runMsByJobKind[jobKind] ?? this.config.defaultRunMs,
    };
  }

  private async answer(
    reply: FastifyReply,
    order: TaskOrder,
    task: RunningTask,
    body: Buffer,
  ): Promise<FastifyReply> {
    const { bootId } = this.vm;
    const stopProgress = this.showProgress(reply);
    const ending = await task.ended;
    stopProgress();
    switch (ending) {
      case 'done':
        return this.sendEcho(reply, {
          requestId: order.requestId,
          taskId: order.taskId,
          jobKind: order.jobKind,
          vm: this.vm.spec.vm,
          bootId,
          bodySha256: createHash('sha256').update(body).digest('hex'),
        });
      case 'failed':
      case 'out-of-memory':
        return reply.code(500).send({ requestId: order.requestId, error: ending });
      case 'stopped':
      case 'lease-lapsed':
        reply.header(TASK_HEADERS.outcome, TASK_OUTCOMES.stopped);
        return reply.header(TASK_HEADERS.reason, ending).code(409).send({ error: ending });
      case 'cut':
        reply.hijack();
        reply.raw.destroy();
        return reply;
      default:
        return assertNever(ending);
    }
  }

  private sendEcho(reply: FastifyReply, echo: Readonly<Record<string, string>>): FastifyReply {
    if (!this.vm.faults.cutAnswers) return reply.send(echo);
    const text = JSON.stringify(echo);
    reply.hijack();
    reply.raw.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    reply.raw.write(text.slice(0, text.length / 2), () => reply.raw.destroy());
    return reply;
  }

  private showProgress(reply: FastifyReply): () => void {
    const { progressIntervalMs } = this.config;
    if (progressIntervalMs === 0) return () => undefined;
    const timer = setInterval(() => {
      if (!reply.raw.destroyed && !this.vm.faults.silent) reply.raw.writeProcessing();
    }, progressIntervalMs);
    return () => clearInterval(timer);
  }

  private static refuse(reply: FastifyReply, reason: string): FastifyReply {
    return reply
      .code(503)
      .header(TASK_HEADERS.outcome, TASK_OUTCOMES.notStarted)
      .header(TASK_HEADERS.reason, reason)
      .send({ error: reason });
  }
}
