import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatVms } from './formatVms.js';

/**
 * Creates `vms drain`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createVmsDrainCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'drain',
    description: 'Keep new work off a VM until the drain is cancelled',
    example: 'rattanlift vms drain vm-017',
    args: { vm: { type: 'positional', description: 'VM to drain', required: true } },
    run: async ({ vm }) => {
      const view = await context.getOperatorsOrThrow().drainVm(vm, context.flags.author);
      context.print(view, (row) => formatVms([row]));
    },
  });
}
