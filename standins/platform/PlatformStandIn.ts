import { setTimeout as sleep } from 'node:timers/promises';
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { request as send } from 'undici';
import { z } from 'zod';
import type { VmRow } from '../../src/tables/index.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import { type PlatformConfig, platformConfigSchema, vmRowSchema } from './platformConfig.js';
import { NO_PLATFORM_FAULTS, type PlatformFaults, platformFaultsSchema } from './PlatformFaults.js';
import { type Retention, StreamStore } from './StreamStore.js';
import { VmDirectory } from './VmDirectory.js';

const HOST = '127.0.0.1';
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const CONTROL_TIMEOUT_MS = 2000;
const MAX_READ_COUNT = 10_000;
const MAX_WAIT_MS = 60_000;

const appendSchema = z.object({ records: z.array(z.unknown()).min(1).readonly() });
const readSchema = z.object({
  fromOffset: z.coerce.number().int().nonnegative(),
  maxCount: z.coerce.number().int().positive().max(MAX_READ_COUNT).default(1000),
  waitMs: z.coerce.number().nonnegative().max(MAX_WAIT_MS).default(0),
});
const retentionSchema = z.object({
  keepCount: z.number().positive().optional(),
  keepMs: z.number().positive().optional(),
});
const registerSchema = z.object({
  vms: z.array(vmRowSchema).readonly(),
  /** Port of the targets stand-in that carries out drains and reboots of these VMs. */
  controlPort: z.int().optional(),
});
const rebootSchema = z.object({ expectedBootId: z.string() });
const leaveSchema = z.object({ goneAfterMs: z.number().nonnegative().optional() });

type StreamRequest = FastifyRequest<{ Params: { stream: string } }>;
type VmRequest = FastifyRequest<{ Params: { vm: string } }>;

/** Counters of what the stand-in was asked, for tests and benches. */
export interface PlatformStats {
  readonly appendCount: number;
  readonly appendedRecordCount: number;
  readonly readCount: number;
}

/** Stand-in of the platform: its log, its lagging list of VMs and its controls over them. */
export class PlatformStandIn {
  private readonly config: PlatformConfig;

  private readonly clock: Clock;

  private readonly streams = new Map<string, StreamStore>();

  private readonly directory: VmDirectory;

  private readonly controlPorts = new Map<string, number>();

  private readonly timers = new Set<NodeJS.Timeout>();

  private faults: PlatformFaults;

  private stats: PlatformStats = { appendCount: 0, appendedRecordCount: 0, readCount: 0 };

  private app: FastifyInstance | undefined;

  private port: number;

  /**
   * Creates a platform that does not listen yet.
   * @param config - Settings; what is left out takes its default.
   * @param clock - Source of the age of records and lists.
   */
  constructor(config: z.input<typeof platformConfigSchema> = {}, clock: Clock = new SystemClock()) {
    this.config = platformConfigSchema.parse(config);
    this.clock = clock;
    this.port = this.config.port;
    this.faults = { ...NO_PLATFORM_FAULTS, ...this.config.faults };
    this.directory = new VmDirectory(clock);
    this.directory.put(this.config.vms);
    Object.entries(this.config.seedRecords).forEach(([stream, records]) =>
      this.getStream(stream).append(records),
    );
  }

  /**
   * Starts to listen; after a stop, on the same port and with the same state.
   * @returns The port.
   */
  async start(): Promise<{ readonly port: number }> {
    const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
    app.setErrorHandler((error, _request, reply) => {
      const isBadInput = error instanceof z.ZodError;
      return reply.code(isBadInput ? 400 : 500).send({ error: String(error) });
    });
    this.addLogRoutes(app);
    this.addVmRoutes(app);
    this.addTestRoutes(app);
    await app.listen({ host: HOST, port: this.port });
    this.app = app;
    this.port = (app.server.address() as { port: number }).port;
    return { port: this.port };
  }

  /** Stops to listen and breaks off every connection; the state stays for the next start. */
  async stop(): Promise<void> {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
    const { app } = this;
    this.app = undefined;
    const closed = app?.close();
    this.streams.forEach((stream) => stream.wakeReaders());
    await closed;
  }

  /**
   * Changes the faults that the stand-in shows.
   * @param faults - Faults to change; the others stay as they are.
   */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.faults = { ...this.faults, ...faults };
  }

  /**
   * Sets how long a stream keeps its records.
   * @param stream - Name of the stream.
   * @param retention - The new limits.
   */
  setRetention(stream: string, retention: Retention): void {
    this.getStream(stream).setRetention(retention);
  }

  /**
   * Adds VMs, or replaces those of the same names.
   * @param vms - The VMs.
   * @param controlPort - Port of the process that carries out their drains and reboots.
   */
  putVms(vms: readonly VmRow[], controlPort?: number): void {
    this.directory.put(vms);
    if (controlPort !== undefined) {
      vms.forEach((row) => this.controlPorts.set(row.vm, controlPort));
    }
  }

  /**
   * Appends records past every fault.
   * @param stream - Name of the stream.
   * @param payloads - The records.
   * @returns Offset of the first one.
   */
  append(stream: string, payloads: readonly unknown[]): number {
    return this.getStream(stream).append(payloads);
  }

  /**
   * Reads every record that a stream keeps, past every fault.
   * @param stream - Name of the stream.
   * @returns The payloads in order.
   */
  listRecords(stream: string): readonly unknown[] {
    const store = this.getStream(stream);
    const result = store.read(0, MAX_READ_COUNT);
    const kept =
      result.type === 'entries' ? result : store.read(result.firstOffset, MAX_READ_COUNT);
    return kept.type === 'entries' ? kept.entries.map((entry) => entry.payload) : [];
  }

  /**
   * Gets the counters.
   * @returns What the stand-in was asked so far.
   */
  getStats(): PlatformStats {
    return this.stats;
  }

  private getStream(name: string): StreamStore {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const created = new StreamStore(this.clock, this.config.defaultRetention);
    this.streams.set(name, created);
    return created;
  }

  private addLogRoutes(app: FastifyInstance): void {
    app.post('/v1/streams/:stream/records', async (request: StreamRequest, reply) => {
      if (await this.failLog(request, reply)) return reply;
      const { records } = appendSchema.parse(request.body);
      const firstOffset = this.getStream(request.params.stream).append(records);
      this.countAppend(records.length);
      if (this.faults.lostAppendAnswerCount > 0) {
        this.setFaults({ lostAppendAnswerCount: this.faults.lostAppendAnswerCount - 1 });
        return PlatformStandIn.breakOff(request, reply);
      }
      return { firstOffset };
    });
    app.get('/v1/streams/:stream/records', async (request: StreamRequest, reply) => {
      if (await this.failLog(request, reply)) return reply;
      const { fromOffset, maxCount, waitMs } = readSchema.parse(request.query);
      this.stats = { ...this.stats, readCount: this.stats.readCount + 1 };
      const stream = this.getStream(request.params.stream);
      await stream.waitFor(fromOffset, waitMs);
      // An outage or a stop that begins while a reader waits hits that reader too.
      if (this.app !== app) return PlatformStandIn.breakOff(request, reply);
      if (await this.failLog(request, reply)) return reply;
      const result = stream.read(fromOffset, maxCount);
      if (result.type === 'entries') {
        return { entries: result.entries, endOffset: result.endOffset };
      }
      return reply.code(410).send({ firstOffset: result.firstOffset });
    });
  }

  private addVmRoutes(app: FastifyInstance): void {
    app.get('/v1/vms', async (_request, reply) => {
      if (this.faults.vmListOutage) return reply.code(503).send({ error: 'VM list outage' });
      return { vms: this.directory.list(this.faults.vmListLagMs) };
    });
    app.post('/v1/vms', async (request) => {
      const { vms, controlPort } = registerSchema.parse(request.body);
      // A VM that leaves goes on leaving after a reboot, whatever it says of itself.
      const known = vms.map((row) => ({
        ...row,
        state: this.directory.get(row.vm)?.state ?? row.state,
      }));
      this.putVms(known, controlPort);
      return {};
    });
    app.post('/v1/vms/:vm/drain', (request: VmRequest, reply) =>
      this.control(request, reply, (row) => this.forward(row, 'drain')),
    );
    app.post('/v1/vms/:vm/undrain', (request: VmRequest, reply) =>
      this.control(request, reply, (row) => this.forward(row, 'undrain')),
    );
    app.post('/v1/vms/:vm/reboot', (request: VmRequest, reply) => {
      const { expectedBootId } = rebootSchema.parse(request.body);
      return this.control(request, reply, async (row) => {
        if (row.bootId === expectedBootId) await this.reboot(row);
      });
    });
    app.post('/v1/vms/:vm/leave', (request: VmRequest, reply) => {
      const { goneAfterMs } = leaveSchema.parse(request.body ?? {});
      return this.control(request, reply, async (row) => this.leave(row, goneAfterMs));
    });
  }

  private addTestRoutes(app: FastifyInstance): void {
    app.post('/v1/faults', async (request) => {
      this.setFaults(platformFaultsSchema.unwrap().partial().parse(request.body));
      return this.faults;
    });
    app.post('/v1/streams/:stream/retention', async (request: StreamRequest) => {
      this.setRetention(request.params.stream, retentionSchema.parse(request.body));
      return {};
    });
    app.get('/v1/stats', async () => this.stats);
  }

  private async failLog(request: FastifyRequest, reply: FastifyReply): Promise<boolean> {
    if (this.faults.logDelayMs > 0) await sleep(this.faults.logDelayMs);
    switch (this.faults.logOutage) {
      case 'none':
        return false;
      case 'unavailable':
        await reply.code(503).send({ error: 'log outage' });
        return true;
      case 'reset':
        PlatformStandIn.breakOff(request, reply);
        return true;
      case 'silent':
        reply.hijack();
        return true;
      default:
        return this.faults.logOutage satisfies never;
    }
  }

  private static breakOff(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    reply.hijack();
    request.raw.socket.destroy();
    return reply;
  }

  private countAppend(recordCount: number): void {
    const { appendCount, appendedRecordCount } = this.stats;
    this.stats = {
      ...this.stats,
      appendCount: appendCount + 1,
      appendedRecordCount: appendedRecordCount + recordCount,
    };
  }

  private async control(
    request: VmRequest,
    reply: FastifyReply,
    act: (row: VmRow) => Promise<void>,
  ): Promise<FastifyReply> {
    const row = this.directory.get(request.params.vm);
    if (row === undefined) return reply.code(404).send({ error: 'no such VM' });
    await act(row);
    if (this.faults.lostControlAnswerCount === 0) return reply.send({});
    this.setFaults({ lostControlAnswerCount: this.faults.lostControlAnswerCount - 1 });
    return PlatformStandIn.breakOff(request, reply);
  }

  private async reboot(row: VmRow): Promise<void> {
    const comesBack = !this.faults.failedRebootVms.includes(row.vm);
    if (this.controlPorts.has(row.vm)) {
      await this.forward(row, 'reboot', { expectedBootId: row.bootId, comesBack });
      return;
    }
    if (!comesBack) return;
    this.later(this.config.rebootMs, () => {
      const [name, count = '0'] = row.bootId.split('#');
      this.directory.put([{ ...row, bootId: `${name}#${Number(count) + 1}` }]);
    });
  }

  private leave(row: VmRow, goneAfterMs: number | undefined): void {
    this.directory.put([{ ...row, state: 'leaving' }]);
    if (goneAfterMs === undefined) return;
    this.later(goneAfterMs, () => {
      this.directory.put([{ ...row, state: 'gone' }]);
      void this.forward(row, 'power-off').catch(() => undefined);
    });
  }

  private later(delayMs: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, delayMs);
    this.timers.add(timer);
  }

  private async forward(row: VmRow, action: string, body: unknown = {}): Promise<void> {
    const controlPort = this.controlPorts.get(row.vm);
    if (controlPort === undefined) return;
    const response = await send(`http://${HOST}:${controlPort}/v1/vms/${row.vm}/${action}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: CONTROL_TIMEOUT_MS,
      bodyTimeout: CONTROL_TIMEOUT_MS,
    });
    await response.body.dump();
    if (response.statusCode !== 200) throw new Error(`${action} answered ${response.statusCode}`);
  }
}
