import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';

/**
 * Creates `explain`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createExplainCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'explain',
    description: 'Tell why a job was placed or refused, or why a wave waits',
    example: 'rattanlift explain wiki-core/page-saves',
    args: {
      subject: { type: 'positional', description: 'Request id, wave or pool', required: true },
    },
    run: async ({ subject }) => {
      const lines = await context.getOperatorsOrThrow().explain(subject);
      context.print(lines, (rows) => rows.join('\n') || 'nothing is known');
    },
  });
}
