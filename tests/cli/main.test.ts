import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { EXIT_CODES } from '../../src/errors/index.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

function runBuilt(args: readonly string[], input = '') {
  const command = ['dist/src/cli/main.js', ...args];
  return spawnSync(process.execPath, command, { cwd: ROOT, input, encoding: 'utf8' });
}

describe('rattanlift', () => {
  it('checks files and the standard input as a process', () => {
    const example = 'examples/trentvale/search.team.jsonc';
    const valid = runBuilt(['settings', 'check', example]);
    expect([valid.status, valid.stdout]).toEqual([EXIT_CODES.ok, `${example}: valid\n`]);
    const broken = runBuilt(['settings', 'check', '-'], '{');
    expect(broken.status).toBe(EXIT_CODES.invalid);
    expect(broken.stdout).toContain('-:1:2: expected a closing brace');
    const missing = runBuilt(['settings', 'check', 'missing.jsonc']);
    expect(missing.status).toBe(EXIT_CODES.usage);
    expect(missing.stderr).toContain('missing.jsonc cannot be read');
  });
});
