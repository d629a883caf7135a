import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatTable } from '../formatTable.js';

/**
 * Creates `instances`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createInstancesCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'instances',
    description: 'List daemons that have joined, left or lapsed',
    example: 'rattanlift instances',
    args: {},
    run: async () => {
      context.print(await context.getOperatorsOrThrow().listInstances(), (rows) =>
        formatTable(
          [
            { title: 'INSTANCE', valueOf: (row) => row.instance },
            { title: 'DATA CENTRE', valueOf: (row) => row.dataCentre },
            { title: 'STATE', valueOf: (row) => row.state },
            { title: 'HOME OF', valueOf: (row) => row.homeCount },
          ],
          rows,
        ),
      );
    },
  });
}
