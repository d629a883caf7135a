import type { EventLog } from '../logging/index.js';
import type { LeasedTargetAddress, LeasedTargetPort, TaskStart } from '../targets/index.js';
import type { RunKey } from './RunKey.js';

/** Options shared by the classes that call the targets of a home. */
export interface TargetCallOptions {
  readonly port: Pick<LeasedTargetPort, 'start' | 'stop'>;
  readonly term: number;
  readonly events: EventLog;
  readonly getAddress: (targetId: string) => LeasedTargetAddress | undefined;
  /** Builds the start of a run; undefined if the run is no longer wanted. */
  readonly createStart: (key: RunKey) => TaskStart | undefined;
  /** Called with the reading of a target's clock that came with an answer. */
  readonly onClock: (targetId: string, targetClockMs: number) => void;
}
