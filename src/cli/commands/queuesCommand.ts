import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliGroup } from '../defineCliCommand.js';
import { createQueuesCancelCommand } from './queuesCancelCommand.js';
import { createQueuesPendingCommand } from './queuesPendingCommand.js';
import { createQueuesStatusCommand } from './queuesStatusCommand.js';
import { createQueuesSubmitCommand } from './queuesSubmitCommand.js';

/**
 * Creates the group `queues`.
 * @param context - Input, output and daemons.
 * @returns The group.
 */
export function createQueuesCommand(context: CommandContext): CliCommand {
  return defineCliGroup(
    'queues',
    'Submit, follow and cancel durable jobs of several steps',
    'rattanlift queues submit exports pack-17 job.json',
    {
      submit: createQueuesSubmitCommand(context),
      status: createQueuesStatusCommand(context),
      cancel: createQueuesCancelCommand(context),
      pending: createQueuesPendingCommand(context),
    },
  );
}
