import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatJob } from './jobStates.js';

/**
 * Creates `jobs cancel`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createJobsCancelCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'cancel',
    description: 'Cancel a submitted job',
    example: 'rattanlift jobs cancel JOB',
    args: {
      job: { type: 'positional', description: 'Id that the submission gave', required: true },
    },
    run: async ({ job }) => {
      context.print(await context.getJobsOrThrow().cancelJob(job), formatJob);
    },
  });
}
