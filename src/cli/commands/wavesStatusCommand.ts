import { EXIT_CODES } from '../../errors/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { parseWholeNumberOrThrow } from '../parseWholeNumberOrThrow.js';
import { UsageError } from '../UsageError.js';
import { DEFAULT_WAVE_LIMIT_S, followWave } from './followWave.js';
import { formatWaves } from './formatWaves.js';

/**
 * Creates `waves status`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createWavesStatusCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'status',
    description: 'Show the progress of all waves or of one',
    example: 'rattanlift waves status WAVE --watch',
    args: {
      wave: { type: 'positional', description: 'Wave to show', required: false },
      watch: { type: 'boolean', description: 'Show progress until it is finished or paused' },
      'limit-s': {
        type: 'string',
        default: String(DEFAULT_WAVE_LIMIT_S),
        description: 'Longest time to watch, in seconds',
      },
    },
    run: async (args) => {
      const { wave, watch } = args;
      const operators = context.getOperatorsOrThrow();
      if (wave === undefined) {
        if (watch) throw new UsageError('--watch needs the wave to watch.');
        context.print(await operators.listWaves(), formatWaves);
        return EXIT_CODES.ok;
      }
      if (watch) {
        return followWave(context, wave, parseWholeNumberOrThrow('limit-s', args['limit-s']));
      }
      context.print(await operators.getWave(wave), (row) => formatWaves([row]));
      return EXIT_CODES.ok;
    },
  });
}
