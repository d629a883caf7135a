import type { VirtualTime } from '../taskHome/histories/VirtualTime.js';
import type { ConfigurationHistory, ConfigurationStep } from './ConfigurationHistory.js';
import { makeLargeRecord, makeSmallRecord } from './configurationRecords.js';
import { IN_FORCE_WITHIN_MS, NarrowWorld } from './NarrowWorld.js';

/** Time after a cut from which on the rule binds, in milliseconds. */
const CONTACT_MS = 4_000;
/** Rate at which the store takes the record of operators, in bytes per millisecond. */
const WRITE_BYTES_PER_MS = 250;
const LOOK_MS = 50;
const STARTS_WITHIN_MS = 3_000;

interface Publication {
  readonly version: number;
  readonly atMs: number;
}

/** Plays histories of configurations in virtual time, and judges them by the users' own rule. */
export class ConfigurationHistoryWorld {
  private readonly time: VirtualTime;

  private readonly world: NarrowWorld;

  private readonly steps: readonly ConfigurationStep[];

  private readonly violations: string[] = [];

  private publications: readonly Publication[] = [];

  private cutUntilMs = Number.NEGATIVE_INFINITY;

  private highestVersion = 0;

  /**
   * Creates a world in which nothing has happened.
   * @param time - Its time, which begins anew.
   * @param history - What happens.
   */
  constructor(time: VirtualTime, { linkMbps, steps }: ConfigurationHistory) {
    time.reset();
    this.time = time;
    this.steps = steps;
    this.world = new NarrowWorld({ linkMbps, clock: time });
  }

  /**
   * Plays the history.
   * @returns What broke the rule.
   */
  async play(): Promise<readonly string[]> {
    await this.publish(false);
    this.world.start();
    await this.pass(STARTS_WITHIN_MS);
    await this.steps.reduce<Promise<void>>(
      (before, step) => before.then(() => this.take(step)),
      Promise.resolve(),
    );
    await this.pass(this.cutUntilMs - this.time.monotonicMs() + CONTACT_MS + IN_FORCE_WITHIN_MS);
    await this.pass(CONTACT_MS);
    this.world.stop();
    return this.violations;
  }

  private async take(step: ConfigurationStep): Promise<void> {
    switch (step.type) {
      case 'publish':
        return this.publish(step.isLarge);
      case 'pause':
        return this.pass(step.forMs);
      case 'cut':
        this.cutUntilMs = this.time.monotonicMs() + step.forMs;
        return undefined;
      default:
        return step satisfies never;
    }
  }

  private async publish(isLarge: boolean): Promise<void> {
    const version = this.publications.length + 1;
    const record = isLarge ? makeLargeRecord(version) : makeSmallRecord(version);
    this.publications = [...this.publications, { version, atMs: this.time.monotonicMs() }];
    await this.world.publish(record);
    await this.pass(record.length / WRITE_BYTES_PER_MS);
  }

  private async pass(forMs: number): Promise<void> {
    const untilMs = this.time.monotonicMs() + forMs;
    while (this.time.monotonicMs() < untilMs) {
      this.world.access.isCut = this.time.monotonicMs() < this.cutUntilMs;
      // eslint-disable-next-line no-await-in-loop -- one look follows the other
      await this.time.advance(LOOK_MS);
      this.look();
    }
  }

  private look(): void {
    const nowMs = this.time.monotonicMs();
    const version = this.world.narrow.get()?.version ?? 0;
    if (version < this.highestVersion) this.violations.push(`${nowMs}: went back to ${version}`);
    this.highestVersion = Math.max(this.highestVersion, version);
    const isBound = nowMs >= this.cutUntilMs + CONTACT_MS;
    const due = this.publications.findLast(({ atMs }) => atMs + IN_FORCE_WITHIN_MS < nowMs);
    if (isBound && due !== undefined && version < due.version) {
      this.violations.push(`${nowMs}: ${version} in force, ${due.version} of ${due.atMs} is due`);
    }
  }
}
