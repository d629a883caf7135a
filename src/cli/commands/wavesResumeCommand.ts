import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatWaves } from './formatWaves.js';

/**
 * Creates `waves resume`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createWavesResumeCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'resume',
    description: 'Resume a paused wave',
    example: 'rattanlift waves resume WAVE',
    args: { wave: { type: 'positional', description: 'Wave to resume', required: true } },
    run: async ({ wave }) => {
      const view = await context.getOperatorsOrThrow().resumeWave(wave, context.flags.author);
      context.print(view, (row) => formatWaves([row]));
    },
  });
}
