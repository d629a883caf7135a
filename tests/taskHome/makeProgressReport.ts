import type { TargetReport } from '../../src/taskHome/TargetSession.js';

/** Report of a target on which one task runs. */
export interface ProgressReportFields {
  readonly taskName?: string;
  readonly run?: number;
  readonly progressPercent: number;
  /** When the report was asked for, and when the target made it: by the same clock here. */
  readonly askedAtMs: number;
}

/** Creates the report of a target that runs one task. */
export function makeProgressReport(fields: ProgressReportFields): TargetReport {
  const { taskName = 'a.0.0.0', run = 1, progressPercent, askedAtMs } = fields;
  const running = [{ taskName, run, progressPercent }];
  return {
    askedAtMs,
    hasExtendedLease: true,
    answer: { type: 'report', targetClockMs: askedAtMs, running, ended: [], hasAllEnds: true },
  };
}
