import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatVms } from './formatVms.js';

/**
 * Creates `vms undrain`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createVmsUndrainCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'undrain',
    description: 'Cancel the drain of a VM',
    example: 'rattanlift vms undrain vm-017',
    args: { vm: { type: 'positional', description: 'VM whose drain to cancel', required: true } },
    run: async ({ vm }) => {
      const view = await context.getOperatorsOrThrow().undrainVm(vm, context.flags.author);
      context.print(view, (row) => formatVms([row]));
    },
  });
}
