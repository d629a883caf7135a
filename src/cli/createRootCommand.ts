import type { CommandContext } from './CommandContext.js';
import { createExplainCommand } from './commands/explainCommand.js';
import { createInstancesCommand } from './commands/instancesCommand.js';
import { createJobsCommand } from './commands/jobsCommand.js';
import { createOrganisationsCommand } from './commands/organisationsCommand.js';
import { createPoolsCommand } from './commands/poolsCommand.js';
import { createQueuesCommand } from './commands/queuesCommand.js';
import { createSettingsCommand } from './commands/settingsCommand.js';
import { createVmsCommand } from './commands/vmsCommand.js';
import { createWavesCommand } from './commands/wavesCommand.js';
import { type CliCommand, defineCliGroup } from './defineCliCommand.js';

/**
 * Creates the whole command line.
 * @param context - Input, output and daemons.
 * @returns The command that all others stand under.
 */
export function createRootCommand(context: CommandContext): CliCommand {
  return defineCliGroup(
    'rattanlift',
    'Fleet capacity and maintenance, for operators',
    'rattanlift pools --daemon 10.1.0.11:8080,10.1.0.12:8080',
    {
      settings: createSettingsCommand(context),
      pools: createPoolsCommand(context),
      vms: createVmsCommand(context),
      instances: createInstancesCommand(context),
      waves: createWavesCommand(context),
      jobs: createJobsCommand(context),
      queues: createQueuesCommand(context),
      organisations: createOrganisationsCommand(context),
      explain: createExplainCommand(context),
    },
  );
}
