#!/usr/bin/env node
import { randomUUID } from 'node:crypto';
import { defineCommand, runMain } from 'citty';
import { ERROR_ANSWERS, toRattanliftError } from '../errors/index.js';
import { JsonEventLog } from '../logging/index.js';
import { NoMetrics, StatsdMetrics } from '../metrics/index.js';
import { Daemon } from './Daemon.js';
import { readDaemonConfig } from './DaemonConfig.js';

const ID_LENGTH = 8;

async function runDaemon(fileName: string): Promise<void> {
  const config = readDaemonConfig(fileName);
  const instance = `${config.name}-${randomUUID().slice(0, ID_LENGTH)}`;
  const writeLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
  };
  const events = new JsonEventLog({ instance, level: config.logLevel, writeLine });
  const metrics =
    config.metrics === undefined ? new NoMetrics() : new StatsdMetrics(config.metrics);
  const daemon = new Daemon({ config, instance, events, metrics });
  await daemon.start();
  const stop = async (): Promise<void> => {
    await daemon.stop();
    if (metrics instanceof StatsdMetrics) await metrics.close();
    process.exit(0);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

await runMain(
  defineCommand({
    meta: {
      name: 'rattanliftd',
      description:
        'Daemon of rattanlift for one entry VM. Example: rattanliftd --config entry.jsonc',
    },
    args: { config: { type: 'string', description: 'Settings of the daemon', required: true } },
    run: async ({ args }) => {
      try {
        await runDaemon(args.config);
      } catch (thrown) {
        const error = toRattanliftError(thrown);
        process.stderr.write(`${error.message}\n`);
        process.exit(ERROR_ANSWERS[error.kind].exitCode);
      }
    },
  }),
);
