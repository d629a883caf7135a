import { EXIT_CODES } from '../../errors/index.js';
import { checkTeamSettings, formatProblem, type SettingsProblem } from '../../settings/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';

/** Verdict on one file. */
interface FileVerdict {
  readonly file: string;
  readonly isValid: boolean;
  readonly problems: readonly SettingsProblem[];
}

/** Checks one file. */
async function checkFile(context: CommandContext, file: string): Promise<FileVerdict> {
  const content = await context.io.readFile(file);
  const result = checkTeamSettings(content.toString('utf8'), file);
  return result.type === 'valid'
    ? { file, isValid: true, problems: result.warnings }
    : { file, isValid: false, problems: result.problems };
}

/** Formats verdicts for people. */
function formatVerdicts(verdicts: readonly FileVerdict[]): string {
  return verdicts
    .flatMap(({ file, isValid, problems }) => [
      ...problems.map(formatProblem),
      ...(isValid ? [`${file}: valid`] : []),
    ])
    .join('\n');
}

/**
 * Creates `settings check`, which needs no daemon.
 * @param context - Input and output.
 * @returns The command.
 */
export function createSettingsCheckCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'check',
    description: "Check teams' settings without a daemon",
    example: 'rattanlift settings check examples/trentvale/*.team.jsonc',
    isVariadic: true,
    args: { file: { type: 'positional', description: 'Files to check', required: true } },
    run: async (args) => {
      const verdicts = await Promise.all(args._.map((file) => checkFile(context, file)));
      context.print(verdicts, formatVerdicts);
      return verdicts.every(({ isValid }) => isValid) ? EXIT_CODES.ok : EXIT_CODES.invalid;
    },
  });
}
