import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { throwError } from '../errors/index.js';
import { formatProblem, parseJsonWithComments } from '../settings/index.js';

const MAX_PORT = 65_535;
const address = z.strictObject({ host: z.string(), port: z.int().min(0).max(MAX_PORT) }).readonly();

/** Schema of a daemon's own settings file. */
export const daemonConfigSchema = z
  .strictObject({
    /** Name of the entry VM; each start of the process adds a part of its own. */
    name: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'a lower-case name'),
    dataCentre: z.string(),
    /** Where callers and operators connect. */
    callers: address,
    /** Where other instances connect; the host is the address that they are told. */
    peers: address,
    /** The platform's log service. */
    log: address,
    /** The platform's list of VMs and its controls. */
    vms: address,
    /** StatsD server; absent means no metrics. */
    metrics: address.optional(),
    logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    /** Records between two snapshots; well below what the log keeps. */
    snapshotEveryRecordCount: z.int().positive().default(2_000),
    /** Longest wait for work in progress when the daemon is told to stop. */
    stopWaitMs: z.int().positive().default(60_000),
  })
  .readonly();

/** A daemon's own settings. */
export type DaemonConfig = z.output<typeof daemonConfigSchema>;

/**
 * Reads a daemon's own settings.
 * @param fileName - Path of the file, JSON with comments.
 * @returns The settings.
 * @throws RattanliftError Of kind `settings-invalid`, with each problem and its place.
 */
export function readDaemonConfig(fileName: string): DaemonConfig {
  const text = readFileSync(fileName, 'utf8');
  const parsed = parseJsonWithComments({ text, schema: daemonConfigSchema, fileName });
  if (parsed.type === 'valid') return parsed.value;
  return throwError('settings-invalid', parsed.problems.map(formatProblem).join('\n'));
}
