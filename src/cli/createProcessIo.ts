import { readFile } from 'node:fs/promises';
import { buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '../utils/index.js';
import type { CliIo } from './CliIo.js';
import { UsageError } from './UsageError.js';

const STANDARD_INPUT = '-';

/** Reads a file whose name the operator typed. */
async function readFileOrThrow(path: string): Promise<Buffer> {
  try {
    return path === STANDARD_INPUT ? await buffer(process.stdin) : await readFile(path);
  } catch (error) {
    throw new UsageError(`${path} cannot be read: ${(error as Error).message}.`);
  }
}

/**
 * Creates the input and output of the running process.
 * @returns Files, streams, environment and clock of the process.
 */
export function createProcessIo(): CliIo {
  return {
    stdout: (output) => {
      process.stdout.write(output);
    },
    stderr: (text) => {
      process.stderr.write(text);
    },
    readFile: readFileOrThrow,
    environment: process.env,
    clock: new SystemClock(),
    sleep: async (delayMs) => {
      await sleep(delayMs);
    },
  };
}
