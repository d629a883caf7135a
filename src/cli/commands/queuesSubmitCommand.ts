import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatDurableJob, QUEUE_JOB_ARGS } from './queueArgs.js';

/**
 * Creates `queues submit`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createQueuesSubmitCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'submit',
    description: 'Submit a durable job; repeated with the same id it is the same job',
    example: 'rattanlift queues submit exports pack-17 job.json',
    args: {
      ...QUEUE_JOB_ARGS,
      file: { type: 'positional', description: 'The job as JSON, - for input', required: true },
    },
    run: async (args) => {
      const body = (await context.io.readFile(args.file)).toString('utf8');
      const job = await context.getQueuesOrThrow().submit(args.queue, args.job, body);
      context.print(job, formatDurableJob);
    },
  });
}
