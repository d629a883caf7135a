import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatVms } from './formatVms.js';
import { createVmsDrainCommand } from './vmsDrainCommand.js';
import { createVmsUndrainCommand } from './vmsUndrainCommand.js';

/**
 * Creates `vms` with its commands.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createVmsCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'vms',
    description: 'List VMs with their pool, or drain one',
    example: 'rattanlift vms --pool wiki-core/page-saves',
    args: {
      pool: { type: 'string', valueHint: 'TEAM/POOL', description: 'Only VMs of this pool' },
    },
    subCommands: {
      drain: createVmsDrainCommand(context),
      undrain: createVmsUndrainCommand(context),
    },
    run: async ({ pool }) => {
      const vms = await context.getOperatorsOrThrow().listVms();
      context.print(
        vms.filter((vm) => pool === undefined || vm.pool === pool),
        formatVms,
      );
    },
  });
}
