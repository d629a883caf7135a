import { Session } from 'node:inspector/promises';

/** Counts the calls of functions while something runs. */
export class CallCounter {
  private readonly session = new Session();

  /** Starts to count. */
  async start(): Promise<void> {
    this.session.connect();
    await this.session.post('Profiler.enable');
    await this.session.post('Profiler.startPreciseCoverage', { callCount: true, detailed: false });
  }

  /**
   * Ends the count.
   * @param isCounted - Tells by its address whether the functions of a script count.
   * @returns Calls since the start, by script.
   */
  async stop(isCounted: (url: string) => boolean): Promise<ReadonlyMap<string, number>> {
    const { result } = await this.session.post('Profiler.takePreciseCoverage');
    await this.session.post('Profiler.stopPreciseCoverage');
    this.session.disconnect();
    return new Map(
      result
        .filter(({ url }) => isCounted(url))
        .map(({ url, functions }) => [
          url,
          functions.reduce((sum, { ranges }) => sum + ranges[0]!.count, 0),
        ]),
    );
  }
}
