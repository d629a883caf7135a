import type { Clock } from '../utils/index.js';

/** What the command line reads, writes and waits on; tests put their own in its place. */
export interface CliIo {
  /** Writes a result. */
  readonly stdout: (output: string | Buffer) => void;
  /** Writes progress and errors. */
  readonly stderr: (text: string) => void;
  /** Reads a file; `-` is the standard input. */
  readonly readFile: (path: string) => Promise<Buffer>;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  readonly sleep: (delayMs: number) => Promise<void>;
}
