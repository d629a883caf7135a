import { DaemonTransport, OperatorClient } from '../operators/index.js';
import type { CliIo } from './CliIo.js';
import type { GlobalFlags } from './GlobalFlags.js';
import { JobClient } from './JobClient.js';
import { QueueClient } from './QueueClient.js';
import { UsageError } from './UsageError.js';

const SILENCE_LIMIT_MS = 30_000;

/** Options of {@link CommandContext}. */
export interface CommandContextOptions {
  readonly io: CliIo;
  readonly flags: GlobalFlags;
}

/** What a command works with: input, output and the daemons. */
export class CommandContext {
  readonly io: CliIo;

  readonly flags: GlobalFlags;

  private transport: DaemonTransport | undefined;

  /**
   * Creates the context of one command; daemons are contacted only when it asks for them.
   * @param options - Input, output and flags.
   */
  constructor(options: CommandContextOptions) {
    this.io = options.io;
    this.flags = options.flags;
  }

  /**
   * Gets the operators' interface of the daemons.
   * @returns The client.
   * @throws UsageError Where no daemon is given.
   */
  getOperatorsOrThrow(): OperatorClient {
    return new OperatorClient({ transport: this.getTransportOrThrow() });
  }

  /**
   * Gets the callers' interface of the daemons.
   * @returns The client.
   * @throws UsageError Where no daemon is given.
   */
  getJobsOrThrow(): JobClient {
    return new JobClient({ transport: this.getTransportOrThrow() });
  }

  /**
   * Gets the daemons' interface of durable jobs.
   * @returns The client.
   * @throws UsageError Where no daemon is given.
   */
  getQueuesOrThrow(): QueueClient {
    return new QueueClient({ transport: this.getTransportOrThrow(), key: this.flags.key });
  }

  /**
   * Prints a result.
   * @param value - The result, printed as it is with `--json`.
   * @param format - Formats it for people otherwise.
   */
  print<Value>(value: Value, format: (value: Value) => string): void {
    const text = this.flags.isJson ? JSON.stringify(value, undefined, 2) : format(value);
    this.io.stdout(text.endsWith('\n') || text === '' ? text : `${text}\n`);
  }

  /**
   * Tells how long work goes on; with `--json`, too, as it is no part of the result.
   * @param line - One line.
   */
  printProgress(line: string): void {
    this.io.stderr(`${line}\n`);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.transport?.close();
  }

  private getTransportOrThrow(): DaemonTransport {
    const { daemons } = this.flags;
    if (daemons.length === 0) {
      throw new UsageError('Give a daemon with --daemon HOST:PORT or RATTANLIFT_DAEMONS.');
    }
    const { clock } = this.io;
    this.transport ??= new DaemonTransport({ daemons, clock, silenceLimitMs: SILENCE_LIMIT_MS });
    return this.transport;
  }
}
