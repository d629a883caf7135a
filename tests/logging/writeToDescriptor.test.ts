import { once } from 'node:events';
import { spawn } from 'node:child_process';
import { describe, expect, it } from 'vitest';

const SCRIPT = `
  import { writeToDescriptor } from './src/logging/index.js';
  let isWritten = false;
  writeToDescriptor(1, 'x'.repeat(4 * 1024 * 1024), () => { isWritten = true; });
  const timer = setInterval(() => process.stderr.write(isWritten ? 'w' : '.'), 20);
  process.on('SIGTERM', () => { clearInterval(timer); process.kill(process.pid, 'SIGKILL'); });
`;

describe('writeToDescriptor', () => {
  // Every request of an instance stood still: whoever read its log had stopped reading, and the
  // write of the next line waited for room in the pipe.
  it('lets the process go on while nobody reads', async () => {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', '--input-type=module', '-e', SCRIPT],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    child.stdout.pause();
    const ticks: string[] = [];
    await new Promise<void>((resolve) => {
      child.stderr.on('data', (data: Buffer) => {
        ticks.push(data.toString());
        if (ticks.join('').length >= 10) resolve();
      });
    });
    expect(ticks.join('')).toMatch(/^\.{10}/);
    child.stdout.resume();
    await new Promise<void>((resolve) => {
      child.stderr.on('data', (data: Buffer) => {
        if (data.toString().includes('w')) resolve();
      });
    });
    child.kill('SIGKILL');
    await once(child, 'exit');
  });
});
