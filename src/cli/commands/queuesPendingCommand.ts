import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { QUEUE_JOB_ARGS } from './queueArgs.js';

/**
 * Creates `queues pending`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createQueuesPendingCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'pending',
    description: 'Show how many jobs of a queue have not begun',
    example: 'rattanlift queues pending exports',
    args: { queue: QUEUE_JOB_ARGS.queue },
    run: async (args) => {
      const view = await context.getQueuesOrThrow().getQueue(args.queue);
      context.print(view, ({ queue, pendingJobCount }) => `${queue}: ${pendingJobCount} pending`);
    },
  });
}
