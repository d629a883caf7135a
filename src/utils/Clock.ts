/** Source of time, injected everywhere so that tests and replays decide what time it is. */
export interface Clock {
  /**
   * Reads the monotonic clock, which never jumps and is only comparable within this process.
   * @returns Milliseconds since an arbitrary origin.
   */
  monotonicMs(): number;

  /**
   * Reads the wall clock, which other processes share only approximately.
   * @returns Milliseconds since the Unix epoch.
   */
  wallMs(): number;
}
