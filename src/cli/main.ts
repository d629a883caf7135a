#!/usr/bin/env node
import { createProcessIo } from './createProcessIo.js';
import { runCli } from './runCli.js';

// A reader such as `head` that has seen enough closes the pipe; that is no error of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
});

process.exitCode = await runCli(process.argv.slice(2), createProcessIo());
