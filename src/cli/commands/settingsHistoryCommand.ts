import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatTable } from '../formatTable.js';

/**
 * Creates `settings history`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createSettingsHistoryCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'history',
    description: 'List accepted and rejected publications, oldest first',
    example: 'rattanlift settings history wiki-core',
    args: { team: { type: 'positional', description: 'Only this team', required: false } },
    run: async ({ team }) => {
      const publications = await context.getOperatorsOrThrow().listPublications(team);
      context.print(publications, (rows) =>
        formatTable(
          [
            {
              title: 'VERSION',
              valueOf: (row) => (row.verdict === 'accepted' ? row.offset + 1 : '-'),
            },
            { title: 'TEAM', valueOf: (row) => row.team },
            { title: 'AUTHOR', valueOf: (row) => row.author },
            { title: 'VERDICT', valueOf: (row) => row.verdict },
            { title: 'REASON', valueOf: (row) => row.reason },
          ],
          rows,
        ),
      );
    },
  });
}
