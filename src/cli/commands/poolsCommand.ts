import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatTable } from '../formatTable.js';

/**
 * Creates `pools`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createPoolsCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'pools',
    description: 'List pools with their capacity and availability budget',
    example: 'rattanlift pools --daemon 10.1.0.11:8080',
    args: {},
    run: async () => {
      context.print(await context.getOperatorsOrThrow().listPools(), (rows) =>
        formatTable(
          [
            { title: 'POOL', valueOf: (row) => row.pool },
            { title: 'HOME', valueOf: (row) => row.home ?? '-' },
            { title: 'VMS', valueOf: (row) => row.vmCount },
            { title: 'ACCEPTING', valueOf: (row) => row.acceptingVmCount },
            { title: 'NEEDED', valueOf: (row) => row.neededSlotCount },
            { title: 'USABLE', valueOf: (row) => row.usableSlotCount },
            { title: 'RUNNING', valueOf: (row) => row.runningJobCount },
            { title: 'QUEUED', valueOf: (row) => row.queuedJobCount },
            { title: 'BUDGET', valueOf: (row) => row.budget },
          ],
          rows,
        ),
      );
    },
  });
}
