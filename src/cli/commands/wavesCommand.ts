import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliGroup } from '../defineCliCommand.js';
import { createWavesPauseCommand } from './wavesPauseCommand.js';
import { createWavesResumeCommand } from './wavesResumeCommand.js';
import { createWavesStartCommand } from './wavesStartCommand.js';
import { createWavesStatusCommand } from './wavesStatusCommand.js';

/**
 * Creates the group `waves`.
 * @param context - Input, output and daemons.
 * @returns The group.
 */
export function createWavesCommand(context: CommandContext): CliCommand {
  return defineCliGroup(
    'waves',
    'Start, pause, resume and watch maintenance waves',
    'rattanlift waves start wiki-core/page-saves --wait',
    {
      start: createWavesStartCommand(context),
      pause: createWavesPauseCommand(context),
      resume: createWavesResumeCommand(context),
      status: createWavesStatusCommand(context),
    },
  );
}
