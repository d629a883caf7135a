import { EXIT_CODES } from '../../errors/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { parseWholeNumberOrThrow } from '../parseWholeNumberOrThrow.js';
import { DEFAULT_WAVE_LIMIT_S, followWave } from './followWave.js';
import { formatWaves } from './formatWaves.js';

/**
 * Creates `waves start`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createWavesStartCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'start',
    description: 'Start a maintenance wave over the VMs of pools',
    example: 'rattanlift waves start wiki-core/page-saves search/indexing --wait',
    isVariadic: true,
    args: {
      pool: { type: 'positional', description: 'Pools as TEAM/POOL', required: true },
      wait: { type: 'boolean', description: 'Show progress until the wave is finished or paused' },
      'limit-s': {
        type: 'string',
        default: String(DEFAULT_WAVE_LIMIT_S),
        description: 'Longest time to wait, in seconds',
      },
    },
    run: async (args) => {
      const limitS = parseWholeNumberOrThrow('limit-s', args['limit-s']);
      const wave = await context.getOperatorsOrThrow().startWave(args._, context.flags.author);
      if (args.wait) return followWave(context, wave.wave, limitS);
      context.print(wave, (row) => formatWaves([row]));
      return EXIT_CODES.ok;
    },
  });
}
