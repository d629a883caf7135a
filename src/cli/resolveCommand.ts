import type { CliCommand } from './defineCliCommand.js';

/** The command that arguments lead to. */
export interface ResolvedCommand {
  readonly command: CliCommand;
  /** Names of the commands above it, for example `rattanlift settings`. */
  readonly parentName: string;
  /** Arguments that are left for it. */
  readonly rest: readonly string[];
}

/**
 * Finds the command that arguments lead to.
 * @param command - Command to start from.
 * @param args - Arguments without the flags that every command takes.
 * @param parentName - Names of the commands above it.
 * @returns The command as deep as the names go.
 */
export function resolveCommand(
  command: CliCommand,
  args: readonly string[],
  parentName = '',
): ResolvedCommand {
  const [name = '', ...rest] = args;
  const subCommands = (command.subCommands ?? {}) as Readonly<Record<string, CliCommand>>;
  if (!Object.hasOwn(subCommands, name)) return { command, parentName, rest: args };
  const { name: ownName = '' } = command.meta as { readonly name?: string };
  return resolveCommand(subCommands[name]!, rest, `${parentName} ${ownName}`.trim());
}
