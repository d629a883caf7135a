import { stripVTControlCharacters } from 'node:util';
import { renderUsage, runCommand } from 'citty';
import {
  ERROR_ANSWERS,
  EXIT_CODES,
  type RattanliftError,
  toRattanliftError,
} from '../errors/index.js';
import { toErrorBody } from '../operators/index.js';
import type { CliIo } from './CliIo.js';
import { CommandContext } from './CommandContext.js';
import { createRootCommand } from './createRootCommand.js';
import { extractGlobalFlags } from './GlobalFlags.js';
import { type ResolvedCommand, resolveCommand } from './resolveCommand.js';
import { UsageError } from './UsageError.js';

const HELP_FLAGS: readonly string[] = ['--help', '-h'];
const PARSER_ERROR_NAME = 'CLIError';

/** Writes the help of a command. */
async function formatHelp({ command, parentName }: ResolvedCommand): Promise<string> {
  const usage = await renderUsage(command, { meta: { name: parentName } });
  const text = stripVTControlCharacters(usage).replace(/ +$/gm, '').trimEnd();
  return `${text}\n\nEXAMPLE\n\n  ${command.example}\n`;
}

/** Finds and runs the command. */
async function runResolved(context: CommandContext, args: readonly string[]): Promise<number> {
  const resolved = resolveCommand(createRootCommand(context), args);
  if (resolved.rest.some((arg) => HELP_FLAGS.includes(arg))) {
    context.io.stdout(await formatHelp(resolved));
    return EXIT_CODES.ok;
  }
  if (!resolved.command.run) {
    context.io.stderr(await formatHelp(resolved));
    const [name] = resolved.rest;
    throw new UsageError(name === undefined ? 'A command is missing.' : `There is no "${name}".`);
  }
  const { result } = await runCommand(resolved.command, { rawArgs: [...resolved.rest] });
  return result as number;
}

/** Writes an error for people or programs. */
function formatError(error: RattanliftError, io: CliIo, isJson: boolean): string {
  const body = toErrorBody(error, io.clock.wallMs());
  if (isJson) return JSON.stringify(body);
  const retry = body.retryAfterS === undefined ? '' : ` Come back in ${body.retryAfterS} s.`;
  return `${body.kind}: ${body.message}${retry}`;
}

/** Tells the operator what went wrong and gives the exit code. */
function reportError(thrown: unknown, io: CliIo, isJson: boolean): number {
  const isParserError = thrown instanceof Error && thrown.name === PARSER_ERROR_NAME;
  if (thrown instanceof UsageError || isParserError) {
    const sentence = stripVTControlCharacters(thrown.message).replace(/\.?$/, '.');
    io.stderr(`${sentence} See --help.\n`);
    return EXIT_CODES.usage;
  }
  const error = toRattanliftError(thrown);
  io.stderr(`${formatError(error, io, isJson)}\n`);
  return ERROR_ANSWERS[error.kind].exitCode;
}

/**
 * Runs one command line.
 * @param rawArgs - Arguments without the program's own name.
 * @param io - Input and output.
 * @returns The exit code; it never rejects.
 */
export async function runCli(rawArgs: readonly string[], io: CliIo): Promise<number> {
  try {
    const { flags, rest } = extractGlobalFlags(rawArgs, io.environment);
    const context = new CommandContext({ io, flags });
    try {
      return await runResolved(context, rest);
    } finally {
      await context.close();
    }
  } catch (thrown) {
    return reportError(thrown, io, rawArgs.includes('--json'));
  }
}
