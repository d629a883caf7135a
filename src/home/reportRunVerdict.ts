import type { EventLog } from '../logging/index.js';
import type { RunVerdict } from '../systems/index.js';
import { assertNever } from '../utils/index.js';
import type { ExplainLog } from './ExplainLog.js';

/** Logs that record the verdict on a run. */
export interface RunVerdictLogs {
  readonly events: EventLog;
  readonly explainLog: ExplainLog;
}

/**
 * Reports the verdict on a run's VM or job to the logs.
 * @param verdict - The verdict.
 * @param logs - The event log and the explain log.
 */
export function reportRunVerdict(
  verdict: RunVerdict,
  { events, explainLog }: RunVerdictLogs,
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
