import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatDurableJob, QUEUE_JOB_ARGS } from './queueArgs.js';

/**
 * Creates `queues cancel`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createQueuesCancelCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'cancel',
    description: 'Cancel a durable job and stop its tasks',
    example: 'rattanlift queues cancel exports pack-17',
    args: QUEUE_JOB_ARGS,
    run: async (args) => {
      const job = await context.getQueuesOrThrow().cancelJob(args.queue, args.job);
      context.print(job, formatDurableJob);
    },
  });
}
