import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliGroup } from '../defineCliCommand.js';
import { createSettingsCheckCommand } from './settingsCheckCommand.js';
import { createSettingsHistoryCommand } from './settingsHistoryCommand.js';
import { createSettingsPublishCommand } from './settingsPublishCommand.js';
import { createSettingsShowCommand } from './settingsShowCommand.js';

/**
 * Creates the group `settings`.
 * @param context - Input, output and daemons.
 * @returns The group.
 */
export function createSettingsCommand(context: CommandContext): CliCommand {
  return defineCliGroup(
    'settings',
    "Check, publish and read teams' settings",
    'rattanlift settings check wiki-core.team.jsonc',
    {
      check: createSettingsCheckCommand(context),
      publish: createSettingsPublishCommand(context),
      show: createSettingsShowCommand(context),
      history: createSettingsHistoryCommand(context),
    },
  );
}
