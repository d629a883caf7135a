import { throwError } from '../../../src/errors/index.js';
import type {
  LogEntry,
  LogPort,
  LogReadOptions,
  LogReadResult,
} from '../../../src/platform/index.js';

const MAX_WAIT_MS = 20;

/** Fault that the next calls get. */
export type Fault = 'none' | 'refuse' | 'lose-answer' | 'hang';

/** Log in memory whose calls can be made to fail. */
export class MemoryLog implements LogPort {
  appendFault: Fault = 'none';

  /** Number of further appends that get `appendFault`. */
  appendFaultCount = Infinity;

  readFault: Fault = 'none';

  /** Sizes of the batches that were sent, including failed ones. */
  readonly batchSizes: number[] = [];

  private readonly streams = new Map<string, LogEntry[]>();

  private readonly firstOffsets = new Map<string, number>();

  /** Returns all records of a stream, including those removed by the retention. */
  entriesOf(stream: string): LogEntry[] {
    const entries = this.streams.get(stream) ?? [];
    this.streams.set(stream, entries);
    return entries;
  }

  /** Removes the records before an offset, as the retention does. */
  truncate(stream: string, firstOffset: number): void {
    this.firstOffsets.set(stream, firstOffset);
  }

  async append(stream: string, payloads: readonly unknown[]): Promise<number> {
    this.batchSizes.push(payloads.length);
    const fault = this.takeAppendFault();
    if (fault === 'hang') return new Promise(() => {});
    if (fault === 'refuse') throwError('log-unavailable', 'refused');
    const entries = this.entriesOf(stream);
    const offset = entries.length;
    payloads.forEach((payload, index) => entries.push({ offset: offset + index, payload }));
    if (fault === 'lose-answer') throwError('log-unavailable', 'answer lost');
    return offset;
  }

  async read(options: LogReadOptions): Promise<LogReadResult> {
    if (this.readFault === 'hang') return new Promise(() => {});
    if (this.readFault !== 'none') throwError('log-unavailable', 'refused');
    const all = this.entriesOf(options.stream);
    const firstOffset = this.firstOffsets.get(options.stream) ?? 0;
    if (options.fromOffset < firstOffset) return { type: 'truncated', firstOffset };
    if (all.length <= options.fromOffset && options.waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, Math.min(options.waitMs, MAX_WAIT_MS));
      });
    }
    const entries = all.slice(options.fromOffset, options.fromOffset + options.maxCount);
    return { type: 'entries', entries, endOffset: all.length };
  }

  private takeAppendFault(): Fault {
    if (this.appendFault === 'none' || this.appendFaultCount === 0) return 'none';
    this.appendFaultCount -= 1;
    return this.appendFault;
  }
}
