import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { daemonConfigSchema } from '../../src/daemon/DaemonConfig.js';
import { EXIT_CODES } from '../../src/errors/index.js';

const ROOT = new URL('../../', import.meta.url);
const DOCS = readFileSync(new URL('docs/OPERATING.md', ROOT), 'utf8');

/** Commands by the names of their files: `wavesStartCommand.ts` is `waves start`. */
function listCommands(): readonly string[] {
  return readdirSync(new URL('src/cli/commands/', ROOT))
    .filter((file) => file.endsWith('Command.ts'))
    .map((file) => file.slice(0, -'Command.ts'.length))
    .map((name) => name.replace(/[A-Z]/, (letter) => ` ${letter.toLowerCase()}`));
}

describe('docs/OPERATING.md', () => {
  it('has every exit code, command and setting of the daemon', () => {
    const exitCodes = Object.entries(EXIT_CODES);
    const missing = [
      ...exitCodes.filter(([name, code]) => !DOCS.includes(`\n| ${code}    | \`${name}\` `)),
      ...listCommands().filter((command) => !DOCS.includes(`\`${command}`)),
      ...Object.keys(daemonConfigSchema.unwrap().shape).filter(
        (name) => !DOCS.includes(`\n| \`${name}\` `),
      ),
    ];
    expect(missing).toEqual([]);
  });
});
