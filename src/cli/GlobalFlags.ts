import type { ArgsDef } from 'citty';
import { UsageError } from './UsageError.js';

const END_OF_FLAGS = '--';
const DAEMON_PATTERN = /^(\[[0-9a-f:]+\]|[^\s/:]+):\d{1,5}$/i;
const DEFAULT_AUTHOR = 'operator';

/** Flags that every command takes, in any place of the command. */
export interface GlobalFlags {
  /** Daemons as `HOST:PORT`, in the order to try them. */
  readonly daemons: readonly string[];
  readonly author: string;
  /** Key of an organisation, for queues that need one; from the environment alone. */
  readonly key?: string;
  readonly isJson: boolean;
}

/** Flags as found, with what is left for the command. */
export interface ExtractedFlags {
  readonly flags: GlobalFlags;
  readonly rest: readonly string[];
}

/** Flags that every command takes, for its help. */
export const GLOBAL_ARGS = {
  daemon: {
    type: 'string',
    valueHint: 'HOST:PORT',
    description: 'Daemon to ask; repeatable or a comma list (RATTANLIFT_DAEMONS)',
  },
  author: {
    type: 'string',
    valueHint: 'NAME',
    description: 'Name that orders are kept under (RATTANLIFT_AUTHOR, USER)',
  },
  json: { type: 'boolean', description: 'Print JSON for programs instead of tables' },
} as const satisfies ArgsDef;

/** Values of one flag and the arguments without it. */
interface TakenFlag {
  readonly values: readonly string[];
  readonly rest: readonly string[];
}

/** Takes every `--name VALUE` and `--name=VALUE` out of the arguments. */
function takeValues(rawArgs: readonly string[], name: string): TakenFlag {
  const flag = `--${name}`;
  const isFlagAt = (index: number): boolean => rawArgs[index] === flag;
  const values = rawArgs.flatMap((arg, index) => {
    if (arg.startsWith(`${flag}=`)) return [arg.slice(flag.length + 1)];
    if (!isFlagAt(index)) return [];
    const value = rawArgs[index + 1];
    if (value === undefined) throw new UsageError(`${flag} needs a value.`);
    return [value];
  });
  const rest = rawArgs.filter(
    (arg, index) => !arg.startsWith(`${flag}=`) && !isFlagAt(index) && !isFlagAt(index - 1),
  );
  return { values, rest };
}

/** Reads the list of daemons. */
function parseDaemonsOrThrow(values: readonly string[]): readonly string[] {
  const daemons = values
    .flatMap((value) => value.split(','))
    .map((daemon) => daemon.trim())
    .filter((daemon) => daemon !== '');
  const wrong = daemons.find((daemon) => !DAEMON_PATTERN.test(daemon));
  if (wrong !== undefined) throw new UsageError(`A daemon is HOST:PORT, and not "${wrong}".`);
  return daemons;
}

/**
 * Takes the flags that every command has out of the arguments.
 * @param rawArgs - Arguments as typed.
 * @param environment - Environment variables, used where a flag is absent.
 * @returns The flags, and the arguments that are left.
 * @throws UsageError Where a daemon is not `HOST:PORT`.
 */
export function extractGlobalFlags(
  rawArgs: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): ExtractedFlags {
  const endIndex = rawArgs.indexOf(END_OF_FLAGS);
  const flagArgs = endIndex < 0 ? rawArgs : rawArgs.slice(0, endIndex);
  const literalArgs = endIndex < 0 ? [] : rawArgs.slice(endIndex);
  const daemons = takeValues(flagArgs, 'daemon');
  const author = takeValues(daemons.rest, 'author');
  const daemonValues =
    daemons.values.length > 0 ? daemons.values : [environment.RATTANLIFT_DAEMONS ?? ''];
  return {
    flags: {
      daemons: parseDaemonsOrThrow(daemonValues),
      author:
        author.values.at(-1) ?? environment.RATTANLIFT_AUTHOR ?? environment.USER ?? DEFAULT_AUTHOR,
      // A flag would show the key to everybody who lists the processes of the machine.
      ...(environment.RATTANLIFT_KEY === undefined ? {} : { key: environment.RATTANLIFT_KEY }),
      isJson: author.rest.includes('--json'),
    },
    rest: [...author.rest.filter((arg) => arg !== '--json'), ...literalArgs],
  };
}
