import type { Rng } from '../../src/utils/index.js';
import type { DemoDaemon } from './DemoCluster.js';
import { type DemoJobKind, drawJob } from './DemoJob.js';
import { type DemoAnswer, sendJob } from './sendJob.js';

/** Options of {@link JobStream}. */
export interface JobStreamOptions {
  readonly daemons: readonly DemoDaemon[];
  readonly kinds: readonly DemoJobKind[];
  readonly rng: Rng;
  /** Time between two jobs, in milliseconds. */
  readonly intervalMs: number;
  readonly maxJobCount: number;
}

const REPEATED_FRACTION = 0.1;
const DEADLINE_AHEAD_MS = 20_000;

/** Sends jobs at a steady rate to every daemon in turn, some of them twice. */
export class JobStream {
  private readonly options: JobStreamOptions;

  private readonly answers: Promise<DemoAnswer>[] = [];

  private daemons: readonly DemoDaemon[];

  private jobCount = 0;

  private timer: NodeJS.Timeout | undefined;

  /**
   * Creates a stream that does not send yet.
   * @param options - Kinds of job, receivers and rate.
   */
  constructor(options: JobStreamOptions) {
    this.options = options;
    this.daemons = options.daemons;
  }

  /** Starts to send. */
  start(): void {
    this.timer = setInterval(() => this.sendNext(), this.options.intervalMs);
  }

  /**
   * Sends no more jobs to a daemon, as the balancer does before an entry VM is replaced.
   * @param daemon - The daemon; the last one cannot be left out.
   */
  leaveOut(daemon: DemoDaemon): void {
    this.daemons = this.daemons.filter((other) => other !== daemon);
  }

  /** Stops to send; what is under way goes on. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Waits for what is under way.
   * @returns Every answer.
   */
  async collectAnswers(): Promise<readonly DemoAnswer[]> {
    return Promise.all(this.answers);
  }

  private sendNext(): void {
    const { kinds, rng, maxJobCount } = this.options;
    const { daemons } = this;
    if (this.jobCount >= maxJobCount) return;
    this.jobCount += 1;
    const job = drawJob(kinds, rng, this.jobCount);
    const daemonAt = (number: number) => daemons[number % daemons.length]!;
    const deadlineAtMs = Date.now() + DEADLINE_AHEAD_MS;
    this.answers.push(sendJob(daemonAt(this.jobCount), job, deadlineAtMs));
    // An impatient caller repeats the same request through another entry VM.
    if (job.idempotent || rng.next() >= REPEATED_FRACTION) return;
    this.answers.push(sendJob(daemonAt(this.jobCount + 1), job, deadlineAtMs));
  }
}
