import type { EventLog } from '../logging/index.js';
import type { RunVerdict } from '../systems/index.js';
import { assertNever } from '../utils/index.js';
import type { ExplainLog } from './ExplainLog.js';

/** Where the verdict on a run is told. */
export interface RunVerdictTellers {
  readonly events: EventLog;
  readonly explainLog: ExplainLog;
}

/**
 * Tells what a run has taught about its VM or its job.
 * @param verdict - The verdict.
 * @param tellers - Where it is told.
 */
export function tellRunVerdict(
  verdict: RunVerdict,
  { events, explainLog }: RunVerdictTellers,
): void {
  switch (verdict.type) {
    case 'quarantine':
      events.write('vmQuarantined', { vm: verdict.vm, reason: verdict.reason });
      break;
    case 'restore':
      events.write('vmRestored', { vm: verdict.vm, reason: verdict.reason });
      break;
    case 'blame-job':
      explainLog.note(verdict.requestId, verdict.reason);
      break;
    default:
      assertNever(verdict);
  }
}
