import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';

const READY_TIMEOUT_MS = 20_000;

/** What to start and how to tell that it is ready. */
export interface ProcessOptions {
  /** Program below `dist`, for example `src/daemon/main.js`. */
  readonly program: string;
  readonly args?: readonly string[];
  /** Flags of Node.js. */
  readonly nodeFlags?: readonly string[];
  /** Variables beside those of this process. */
  readonly variables?: Readonly<Record<string, string>>;
  /** Matches the line that says that the process is ready; absent to wait for nothing. */
  readonly readyLine?: RegExp;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A program of ours in a process of its own. */
export class ManagedProcess {
  /** Lines written so far, of both outputs. */
  readonly lines: string[] = [];

  /** Lines written so far to the standard output. */
  readonly outputLines: string[] = [];

  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;

  private readonly child: ChildProcess;

  private readonly listeners = new Set<(line: string) => void>();

  /**
   * Starts a program with this Node.js.
   * @param options - Program and arguments.
   */
  constructor(options: ProcessOptions) {
    const { program, args = [], nodeFlags = [], variables } = options;
    this.child = spawn(process.execPath, [...nodeFlags, `dist/${program}`, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...variables },
    });
    this.ended = new Promise((resolve) => {
      this.child.once('close', (code, signal) => resolve({ code, signal }));
    });
    createInterface({ input: this.child.stdout! }).on('line', (line) => {
      this.outputLines.push(line);
      this.receive(line);
    });
    createInterface({ input: this.child.stderr! }).on('line', (line) => this.receive(line));
  }

  /** Id of the process. */
  get pid(): number {
    return this.child.pid!;
  }

  /** Log lines written so far that are whole JSON objects. */
  get logLines(): readonly Readonly<Record<string, unknown>>[] {
    return this.lines
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
  }

  /**
   * Waits for a line.
   * @param pattern - What it matches.
   * @returns The match.
   * @throws Error Where the process ends or the time is up before.
   */
  async waitForLine(pattern: RegExp): Promise<RegExpMatchArray> {
    const seen = this.lines.find((line) => pattern.test(line));
    if (seen !== undefined) return seen.match(pattern)!;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => this.failWait(pattern, reject), READY_TIMEOUT_MS);
      const listener = (line: string) => {
        const match = line.match(pattern);
        if (match === null) return;
        clearTimeout(timer);
        this.listeners.delete(listener);
        resolve(match);
      };
      this.listeners.add(listener);
      void this.ended.then(() => {
        clearTimeout(timer);
        this.failWait(pattern, reject);
      });
    });
  }

  /**
   * Waits until the process has ended by itself.
   * @param limitMs - Longest wait, in milliseconds.
   * @returns How it ended, or undefined where it still runs.
   */
  async waitForEnd(limitMs: number): Promise<ProcessEnd | undefined> {
    const timeout = new AbortController();
    const late = sleep(limitMs, undefined, { signal: timeout.signal }).catch(() => undefined);
    const end = await Promise.race([this.ended, late]);
    timeout.abort();
    return end;
  }

  /**
   * Sends a signal to the process.
   * @param signal - For example `SIGKILL`, `SIGSTOP`, `SIGCONT` or `SIGTERM`.
   */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Ends the process whatever its state, and waits for it. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }

  private receive(line: string): void {
    this.lines.push(line);
    this.listeners.forEach((listener) => listener(line));
  }

  private failWait(pattern: RegExp, reject: (error: Error) => void): void {
    reject(new Error(`No line like ${pattern}; output:\n${this.lines.join('\n')}`));
  }
}
