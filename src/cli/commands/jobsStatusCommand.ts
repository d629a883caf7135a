import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { answerOf, exitCodeOfJob, formatJob } from './jobStates.js';

/**
 * Creates `jobs status`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createJobsStatusCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'status',
    description: 'Show the state of a submitted job',
    example: 'rattanlift jobs status JOB --answer > answer.json',
    args: {
      job: { type: 'positional', description: 'Id that the submission gave', required: true },
      answer: { type: 'boolean', description: "Write the target's answer instead of the state" },
    },
    run: async (args) => {
      const job = await context.getJobsOrThrow().getJob(args.job);
      if (args.answer) context.io.stdout(answerOf(job));
      else context.print(job, formatJob);
      return exitCodeOfJob(job);
    },
  });
}
