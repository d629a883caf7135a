import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliGroup } from '../defineCliCommand.js';
import { createJobsCancelCommand } from './jobsCancelCommand.js';
import { createJobsStatusCommand } from './jobsStatusCommand.js';
import { createJobsSubmitCommand } from './jobsSubmitCommand.js';

/**
 * Creates the group `jobs`.
 * @param context - Input, output and daemons.
 * @returns The group.
 */
export function createJobsCommand(context: CommandContext): CliCommand {
  return defineCliGroup(
    'jobs',
    'Submit, follow and cancel jobs',
    'rattanlift jobs submit wiki-core/page-saves --kind page-save --body page.json',
    {
      submit: createJobsSubmitCommand(context),
      status: createJobsStatusCommand(context),
      cancel: createJobsCancelCommand(context),
    },
  );
}
