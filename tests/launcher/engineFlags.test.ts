import { readFileSync } from 'node:fs';
import { expect, it } from 'vitest';

/** Flags of the engine in a command, but for loaders, which do not change what it compiles. */
function readFlags(command: string): readonly string[] {
  return command.match(/--[a-z-]+=\d+/g) ?? [];
}

function readCommand(file: string, pattern: RegExp): string {
  return pattern.exec(readFileSync(file, 'utf8'))![1]!;
}

// Guards against starts that compile the whole program anew: the engine uses what the build has
// compiled only under the same flags.
it('builds the daemon under the flags under which it is run', () => {
  const built = readFlags(readCommand('package.json', /"build:daemon": "(.*)"/));
  const run = readFlags(readCommand('deploy/system.toml', /^run = "(.*)"/m));
  const documented = readFlags(readCommand('README.md', /(node .*target\/rattanliftd\.cjs)/));
  expect(built).toContain('--max-old-space-size=128');
  expect(run).toEqual(built);
  expect(documented).toEqual(built);
});
