import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatWaves } from './formatWaves.js';

/**
 * Creates `waves pause`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createWavesPauseCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'pause',
    description: 'Pause a wave; VMs in maintenance are finished first',
    example: 'rattanlift waves pause WAVE',
    args: { wave: { type: 'positional', description: 'Wave to pause', required: true } },
    run: async ({ wave }) => {
      const view = await context.getOperatorsOrThrow().pauseWave(wave, context.flags.author);
      context.print(view, (row) => formatWaves([row]));
    },
  });
}
