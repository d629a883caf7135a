import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { TargetFaults } from '../targets/index.js';
import type { DemoCluster, DemoDaemon } from './DemoCluster.js';
import type { JobStream } from './JobStream.js';

/** Options of {@link Disturbances}. */
export interface DisturbancesOptions {
  readonly cluster: DemoCluster;
  readonly stream: JobStream;
  /** VMs of all users. */
  readonly vms: readonly string[];
  /** Hears what is done, in words. */
  readonly report: (line: string) => void;
}

const HOST = '127.0.0.1';
const OUTAGE_MS = 4_000;
/** Longer than a lease lasts. */
const FREEZE_MS = 8_000;
const PAUSE_MS = 3_000;
const LOST_ANSWER_COUNT = 20;
const FAULTS_BY_STRIDE: readonly (readonly [number, number, Partial<TargetFaults>])[] = [
  [0, 10, { failing: true }],
  [3, 15, { cutAnswers: true }],
  [5, 25, { silent: true }],
  [7, 25, { crashed: true }],
];

async function post(port: number, path: string, body: unknown): Promise<void> {
  const answer = await request(`http://${HOST}:${port}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  await answer.body.dump();
}

/** Failures of targets, daemons and the log, one on top of the other. */
export class Disturbances {
  private readonly options: DisturbancesOptions;

  /**
   * Creates disturbances that have not begun.
   * @param options - What is disturbed.
   */
  constructor(options: DisturbancesOptions) {
    this.options = options;
  }

  /** Brings all of them about, in a fixed order. */
  async run(): Promise<void> {
    const [first, second] = this.options.cluster.daemons.toReversed();
    await this.breakTargets();
    await sleep(PAUSE_MS);
    await this.kill(first!);
    await sleep(PAUSE_MS);
    await this.breakLog();
    await sleep(PAUSE_MS);
    await this.freeze(second!);
    await sleep(PAUSE_MS);
  }

  private async breakTargets(): Promise<void> {
    const { vms, cluster, report } = this.options;
    const broken = FAULTS_BY_STRIDE.flatMap(([start, stride, faults]) =>
      vms.filter((_vm, index) => index % stride === start).map((vm) => ({ vm, faults })),
    );
    report(`${broken.length} of ${vms.length} VMs fail, cut answers, fall silent or crash`);
    await Promise.all(
      broken.map(({ vm, faults }) => post(cluster.targetsPort, `/v1/vms/${vm}/faults`, faults)),
    );
  }

  private async kill(daemon: DemoDaemon): Promise<void> {
    this.options.report(`${daemon.name} is killed`);
    this.options.stream.leaveOut(daemon);
    await daemon.managed.kill();
  }

  private async breakLog(): Promise<void> {
    const { cluster, report } = this.options;
    report(`the log is out for ${OUTAGE_MS} ms, then loses ${LOST_ANSWER_COUNT} answers`);
    await post(cluster.platformPort, '/v1/faults', { logOutage: 'unavailable' });
    await sleep(OUTAGE_MS);
    const after = { logOutage: 'none', lostAppendAnswerCount: LOST_ANSWER_COUNT };
    await post(cluster.platformPort, '/v1/faults', after);
  }

  private async freeze(daemon: DemoDaemon): Promise<void> {
    this.options.report(`${daemon.name} is frozen for ${FREEZE_MS} ms`);
    daemon.managed.signal('SIGSTOP');
    await sleep(FREEZE_MS);
    daemon.managed.signal('SIGCONT');
  }
}
