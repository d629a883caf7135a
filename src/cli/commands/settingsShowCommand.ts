import { EXIT_CODES } from '../../errors/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatTable } from '../formatTable.js';

/**
 * Creates `settings show`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createSettingsShowCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'show',
    description: "List teams' settings in force, or print the document of one team",
    example: 'rattanlift settings show wiki-core > wiki-core.team.jsonc',
    args: { team: { type: 'positional', description: 'Team to print', required: false } },
    run: async ({ team }) => {
      const operators = context.getOperatorsOrThrow();
      if (team === undefined) {
        context.print(await operators.listSettings(), (rows) =>
          formatTable(
            [
              { title: 'TEAM', valueOf: (row) => row.team },
              { title: 'VERSION', valueOf: (row) => row.version },
              { title: 'AUTHOR', valueOf: (row) => row.author },
            ],
            rows,
          ),
        );
        return EXIT_CODES.ok;
      }
      const view = await operators.getSettings(team);
      if (!view) {
        context.printProgress(`There are no settings of team ${team} in force.`);
        return EXIT_CODES.notFound;
      }
      if (!context.flags.isJson) {
        context.printProgress(`${team}: version ${view.version} by ${view.author}`);
      }
      context.print(view, ({ document }) => document);
      return EXIT_CODES.ok;
    },
  });
}
