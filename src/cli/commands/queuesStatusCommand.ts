import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { exitCodeOfDurableJob, formatDurableJob, QUEUE_JOB_ARGS } from './queueArgs.js';

/**
 * Creates `queues status`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createQueuesStatusCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'status',
    description: 'Show the state of a durable job',
    example: 'rattanlift queues status exports pack-17',
    args: QUEUE_JOB_ARGS,
    run: async (args) => {
      const job = await context.getQueuesOrThrow().getJob(args.queue, args.job);
      context.print(job, formatDurableJob);
      return exitCodeOfDurableJob(job);
    },
  });
}
