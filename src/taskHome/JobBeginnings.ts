import { beginJob } from '../jobs/index.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';

/** Options of {@link JobBeginnings}. */
export interface JobBeginningsOptions {
  readonly table: JobTable;
  readonly telemetry: Pick<JobTelemetry, 'noteBegun'>;
}

/**
 * Takes note of which jobs have begun.
 *
 * Guards against jobs that wait and count neither as pending nor run: a target may refuse what was
 * placed on it. So a job begins with what its target tells, not with a decision of the home.
 */
export class JobBeginnings {
  private readonly options: JobBeginningsOptions;

  /**
   * Takes note of nothing yet.
   * @param options - Jobs, and where their beginnings are recorded.
   */
  constructor(options: JobBeginningsOptions) {
    this.options = options;
  }

  /**
   * Records that a target has begun a run; the change is stored with the next ones.
   * @param taskName - Name of the task, by an accepted start or a report of its run or end.
   */
  note(taskName: string): void {
    const { table, telemetry } = this.options;
    const row = table.findTask(taskName)?.row;
    if (row?.state !== 'queued') return;
    table.put(beginJob(row));
    telemetry.noteBegun(row);
  }
}
