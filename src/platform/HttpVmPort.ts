import { z } from 'zod';
import { throwError, toRattanliftError } from '../errors/index.js';
import type { VmRow } from '../tables/index.js';
import { HttpJsonClient, type JsonAnswer, type JsonRequest } from '../utils/index.js';
import type { VmPort } from './VmPort.js';

const DEFAULT_TIMEOUT_MS = 3000;
const HTTP_OK = 200;

const listSchema = z.object({
  vms: z
    .array(
      z
        .object({
          vm: z.string().min(1),
          worker: z.string(),
          rack: z.string(),
          dataCentre: z.string(),
          host: z.string(),
          port: z.int(),
          coreCount: z.number().nonnegative(),
          memoryMb: z.number().nonnegative(),
          acceleratorCount: z.number().nonnegative(),
          slotCount: z.int().nonnegative(),
          state: z.enum(['live', 'leaving', 'gone']),
          bootId: z.string(),
        })
        .readonly(),
    )
    .readonly(),
});

/** Options of {@link HttpVmPort}. */
export interface HttpVmPortOptions {
  readonly host: string;
  readonly port: number;
  /** Longest wait for an answer, in milliseconds. */
  readonly timeoutMs?: number;
}

/** The platform's VM list and controls over HTTP; it repeats nothing by itself. */
export class HttpVmPort implements VmPort {
  private readonly client: HttpJsonClient;

  private readonly timeoutMs: number;

  /**
   * Creates a client of the platform.
   * @param options - Address and timeout.
   */
  constructor(options: HttpVmPortOptions) {
    this.client = new HttpJsonClient(options);
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** {@inheritDoc VmPort.list} */
  async list(): Promise<readonly VmRow[]> {
    const answer = await this.send({
      method: 'GET',
      path: '/v1/vms',
      timeoutMs: this.timeoutMs,
    });
    const parsed = listSchema.safeParse(answer.body);
    if (parsed.success) return parsed.data.vms;
    const what = z.prettifyError(parsed.error);
    return throwError('internal', `The platform's VM list has another form: ${what}`);
  }

  /** {@inheritDoc VmPort.drain} */
  async drain(vm: string): Promise<void> {
    await this.control(vm, 'drain');
  }

  /** {@inheritDoc VmPort.undrain} */
  async undrain(vm: string): Promise<void> {
    await this.control(vm, 'undrain');
  }

  /** {@inheritDoc VmPort.reboot} */
  async reboot(vm: string, expectedBootId: string): Promise<void> {
    await this.control(vm, 'reboot', { expectedBootId });
  }

  /** Ends every connection; calls in progress fail. */
  async close(): Promise<void> {
    await this.client.close();
  }

  private async control(vm: string, action: string, body: unknown = {}): Promise<void> {
    await this.send({
      method: 'POST',
      path: `/v1/vms/${encodeURIComponent(vm)}/${action}`,
      body,
      timeoutMs: this.timeoutMs,
    });
  }

  private async send(request: JsonRequest): Promise<JsonAnswer> {
    const answer = await this.client.send(request).catch((error: unknown) => {
      throw toRattanliftError(error, 'internal');
    });
    if (answer.httpStatus === HTTP_OK) return answer;
    return throwError('internal', `The platform answered with status ${answer.httpStatus}.`);
  }
}
