import type { TargetEntry } from './TargetEntry.js';
import type { TargetSession } from './TargetSession.js';

/** A target that a home has a session with. */
export interface TrackedTarget {
  readonly session: TargetSession;
  /** Its latest entry in the platform. */
  entry: TargetEntry;
  /** Whether the platform still lists the target. */
  isListed: boolean;
  /** When this home first saw the target, by the monotonic clock. */
  readonly appearedAtMs: number;
  /** Whether the target had more capacity earlier in this lifetime than it reports now. */
  hasShrunk: boolean;
  /** Number of the last end that was taken. */
  takenEndNumber: number;
}
