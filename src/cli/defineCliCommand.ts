import { type ArgsDef, type CommandDef, defineCommand, type ParsedArgs } from 'citty';
import { EXIT_CODES } from '../errors/index.js';
import { GLOBAL_ARGS } from './GlobalFlags.js';
import { UsageError } from './UsageError.js';

/** A command or a group of commands. */
export type CliCommand = CommandDef & {
  /** Command as one would type it, shown with the help. */
  readonly example: string;
};

/** Options of {@link defineCliCommand}. */
export interface CliCommandOptions<Args extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly example: string;
  readonly args: Args;
  /** Whether the last positional argument may be given several times. */
  readonly isVariadic?: boolean;
  readonly subCommands?: Readonly<Record<string, CliCommand>>;
  /** Runs the command and gives its exit code where it is not 0. */
  readonly run: (args: ParsedArgs<Args>) => Promise<number | void>;
}

/** Names under which a flag may be typed. */
function namesOf([name, definition]: [string, ArgsDef[string]]): readonly string[] {
  const alias = 'alias' in definition ? definition.alias : undefined;
  return [name, ...(alias === undefined ? [] : [alias].flat())];
}

/**
 * Refuses what the parser would pass over. The failure: `--base-verson 3` is taken for an unknown
 * flag, dropped, and the default published in its place; so every flag has to be a known one.
 */
function checkArguments(
  rawArgs: readonly string[],
  positionals: readonly string[],
  options: CliCommandOptions<ArgsDef>,
): void {
  const flags = Object.entries(options.args).filter(([, { type }]) => type !== 'positional');
  const knownNames = flags.flatMap(namesOf);
  const endIndex = rawArgs.indexOf('--');
  const unknown = rawArgs
    .slice(0, endIndex < 0 ? rawArgs.length : endIndex)
    .filter((arg) => /^--?[a-z]/i.test(arg))
    .find((arg) => !knownNames.includes(arg.replace(/^--?(no-)?/, '').replace(/=.*$/s, '')));
  if (unknown !== undefined) throw new UsageError(`There is no flag ${unknown}.`);
  const positionalCount = Object.keys(options.args).length - flags.length;
  const extra = options.isVariadic ? undefined : positionals[positionalCount];
  if (extra !== undefined) throw new UsageError(`"${extra}" is not expected here.`);
}

/**
 * Defines a command that refuses unknown flags and superfluous arguments.
 * @param options - Name, help, arguments and what to run.
 * @returns The command; its result is the exit code.
 */
export function defineCliCommand<const Args extends ArgsDef>(
  options: CliCommandOptions<Args>,
): CliCommand {
  const args: ArgsDef = { ...options.args, ...GLOBAL_ARGS };
  const subCommands: Record<string, CommandDef> | undefined = options.subCommands;
  const command = defineCommand({
    meta: { name: options.name, description: options.description },
    args,
    subCommands,
    run: async (invocation) => {
      const definition = options as unknown as CliCommandOptions<ArgsDef>;
      checkArguments(invocation.rawArgs, invocation.args._, definition);
      return (await options.run(invocation.args as ParsedArgs<Args>)) ?? EXIT_CODES.ok;
    },
  });
  return { ...command, example: options.example };
}

/**
 * Defines a group of commands that is no command itself.
 * @param name - Name of the group.
 * @param description - What its commands are about.
 * @param example - Command as one would type it.
 * @param subCommands - The commands.
 * @returns The group.
 */
export function defineCliGroup(
  name: string,
  description: string,
  example: string,
  subCommands: Readonly<Record<string, CliCommand>>,
): CliCommand {
  const commands = subCommands as Record<string, CommandDef>;
  return { meta: { name, description }, subCommands: commands, example };
}
