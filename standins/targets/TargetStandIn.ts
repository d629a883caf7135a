import { setTimeout as sleep } from 'node:timers/promises';
import { fastify, type FastifyInstance, type FastifyRequest } from 'fastify';
import { z } from 'zod';
import type { VmRow } from '../../src/tables/index.js';
import type { TargetAddress } from '../../src/targets/index.js';
import { type Clock, HttpJsonClient, SystemClock } from '../../src/utils/index.js';
import { type TargetFaults, targetFaultsSchema } from './TargetFaults.js';
import { TargetServer } from './TargetServer.js';
import { type TargetsConfig, targetsConfigSchema } from './targetsConfig.js';
import { TargetVm, type TaskStart } from './TargetVm.js';

const HOST = '127.0.0.1';
const REGISTER_TIMEOUT_MS = 5000;
const REGISTER_ATTEMPT_COUNT = 20;
const REGISTER_RETRY_MS = 250;

const rebootSchema = z.object({ expectedBootId: z.string(), comesBack: z.boolean().default(true) });

type VmRequest = FastifyRequest<{ Params: { vm: string } }>;

interface Member {
  readonly vm: TargetVm;
  readonly server: TargetServer;
}

/** Stand-in of the target VMs of a fleet, all in one process, each with an endpoint of its own. */
export class TargetStandIn {
  private readonly config: TargetsConfig;

  private readonly members: ReadonlyMap<string, Member>;

  private readonly platform: HttpJsonClient | undefined;

  private control: FastifyInstance | undefined;

  private controlPort = 0;

  private stopped = false;

  /**
   * Creates the VMs without starting them.
   * @param config - The fleet and its run times; what is left out takes its default.
   * @param clock - Source of time for leases and reports.
   */
  constructor(config: z.input<typeof targetsConfigSchema> = {}, clock: Clock = new SystemClock()) {
    this.config = targetsConfigSchema.parse(config);
    const checkpoints = new Map<string, number>();
    const { usageLagMs, platformPort } = this.config;
    this.members = new Map(
      this.config.vms.map((spec) => {
        const vm = new TargetVm({ spec, clock, usageLagMs, checkpoints });
        return [spec.vm, { vm, server: new TargetServer(vm, this.config) }];
      }),
    );
    this.platform =
      platformPort === undefined
        ? undefined
        : new HttpJsonClient({ host: HOST, port: platformPort });
  }

  /**
   * Starts every VM and registers them with the platform.
   * @returns Port on which the VMs' faults are set and the platform's orders arrive.
   */
  async start(): Promise<{ readonly port: number }> {
    await Promise.all([...this.members.values()].map(({ server }) => server.open()));
    const control = this.createControl();
    await control.listen({ host: HOST, port: 0 });
    this.control = control;
    this.controlPort = (control.server.address() as { port: number }).port;
    await this.register([...this.members.keys()]);
    return { port: this.controlPort };
  }

  /** Stops every VM, which cuts what still runs. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.control?.close();
    await Promise.all([...this.members.values()].map((member) => TargetStandIn.powerOff(member)));
    await this.platform?.close();
  }

  /**
   * Lists the VMs as the platform is told of them.
   * @returns The VMs with their addresses and boots.
   */
  listVms(): readonly VmRow[] {
    return [...this.members.values()].map(({ vm, server }) => ({
      ...vm.spec,
      host: HOST,
      port: server.port,
      state: 'live',
      bootId: vm.bootId,
    }));
  }

  /**
   * Gets the address of a VM.
   * @param name - Name of the VM.
   * @returns Its address.
   */
  getAddressOrThrow(name: string): TargetAddress {
    return { vm: name, host: HOST, port: this.getOrThrow(name).server.port };
  }

  /**
   * Lists every start of a task on any VM.
   * @returns The starts, by VM and oldest first.
   */
  listStarts(): readonly TaskStart[] {
    return [...this.members.values()].flatMap(({ vm }) => vm.listStarts());
  }

  /**
   * Drains a VM, or ends its drain.
   * @param name - Name of the VM.
   * @param draining - Whether it refuses new tasks.
   */
  setDraining(name: string, draining: boolean): void {
    this.getOrThrow(name).vm.draining = draining;
  }

  /**
   * Changes the faults of a VM.
   * @param name - Name of the VM.
   * @param faults - Faults to change; the others stay as they are.
   */
  async setFaults(name: string, faults: Partial<TargetFaults>): Promise<void> {
    const member = this.getOrThrow(name);
    const wasCrashed = member.vm.faults.crashed;
    member.vm.faults = { ...member.vm.faults, ...faults };
    const isCrashed = member.vm.faults.crashed;
    if (isCrashed && !wasCrashed) await TargetStandIn.powerOff(member);
    if (!isCrashed && wasCrashed) await this.powerOn(member);
  }

  /**
   * Reboots a VM, unless it shows another boot than the expected one.
   * @param name - Name of the VM.
   * @param expectedBootId - Boot to end.
   * @param comesBack - Whether the VM comes up again.
   */
  async reboot(name: string, expectedBootId: string, comesBack = true): Promise<void> {
    const member = this.getOrThrow(name);
    if (member.vm.bootId !== expectedBootId) return;
    await TargetStandIn.powerOff(member);
    if (!comesBack) return;
    await sleep(this.config.rebootMs);
    if (!member.vm.faults.crashed) await this.powerOn(member);
  }

  private getOrThrow(name: string): Member {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`There is no VM ${name}.`);
    return member;
  }

  private static async powerOff({ vm, server }: Member): Promise<void> {
    vm.endBoot();
    await server.close();
  }

  private async powerOn({ vm, server }: Member): Promise<void> {
    if (this.stopped) return;
    await server.open();
    await this.register([vm.spec.vm]);
  }

  private async register(names: readonly string[], attemptNumber = 1): Promise<void> {
    if (this.platform === undefined || this.stopped) return;
    const vms = this.listVms().filter((row) => names.includes(row.vm));
    const body = { vms, controlPort: this.controlPort };
    const answer = await this.platform
      .send({ method: 'POST', path: '/v1/vms', body, timeoutMs: REGISTER_TIMEOUT_MS })
      .catch(() => undefined);
    if (answer?.httpStatus === 200) return;
    if (attemptNumber >= REGISTER_ATTEMPT_COUNT) throw new Error('The platform does not answer.');
    await sleep(REGISTER_RETRY_MS);
    await this.register(names, attemptNumber + 1);
  }

  private createControl(): FastifyInstance {
    const app = fastify({ forceCloseConnections: true });
    app.setErrorHandler((error, _request, reply) => reply.code(400).send({ error: String(error) }));
    app.get('/v1/starts', async () => this.listStarts());
    app.get('/v1/vms', async () => this.listVms());
    app.post('/v1/vms/:vm/faults', async (request: VmRequest) => {
      const faults = targetFaultsSchema.unwrap().partial().parse(request.body);
      await this.setFaults(request.params.vm, faults);
      return {};
    });
    app.post('/v1/vms/:vm/drain', async (request: VmRequest) => {
      this.setDraining(request.params.vm, true);
      return {};
    });
    app.post('/v1/vms/:vm/undrain', async (request: VmRequest) => {
      this.setDraining(request.params.vm, false);
      return {};
    });
    app.post('/v1/vms/:vm/power-off', async (request: VmRequest) => {
      await TargetStandIn.powerOff(this.getOrThrow(request.params.vm));
      return {};
    });
    app.post('/v1/vms/:vm/reboot', async (request: VmRequest) => {
      const { expectedBootId, comesBack } = rebootSchema.parse(request.body);
      this.getOrThrow(request.params.vm);
      // The order is confirmed at once, as the platform does; the reboot itself takes its time.
      void this.reboot(request.params.vm, expectedBootId, comesBack).catch(() => undefined);
      return {};
    });
    return app;
  }
}
