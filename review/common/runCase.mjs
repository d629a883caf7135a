import { dirname, join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Cluster } from './Cluster.mjs';

const EXIT_CODES = { held: 0, broken: 1, impossible: 2 };
const LONGEST_MS = 110_000;

/**
 * Runs a case against daemons of its own and ends the process with the result.
 * @param moduleUrl - URL of the case's module; its folder gets the record.
 * @param options - Options of the cluster.
 * @param play - Plays the case; returns the lines that tell how the rule was broken.
 */
export async function runCase(moduleUrl, options, play) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const cluster = new Cluster({ ...options, recordFile: join(folder, 'record.txt') });
  const hasTrouble = process.env.TROUBLE !== '0';
  let result = 'impossible';
  const abort = async () => {
    cluster.note('result: the case took too long');
    await cluster.stop();
    process.exit(EXIT_CODES.impossible);
  };
  const timer = setTimeout(abort, LONGEST_MS);
  process.once('SIGTERM', abort);
  process.once('SIGINT', abort);
  try {
    const breaches = await play(cluster, hasTrouble);
    breaches.forEach((breach) => cluster.note('broken:', breach));
    result = breaches.length > 0 ? 'broken' : 'held';
  } catch (error) {
    cluster.note('error:', String(error?.stack ?? error));
  }
  clearTimeout(timer);
  cluster.note('result:', result, `trouble ${hasTrouble ? 1 : 0}`);
  await cluster.stop();
  process.stdout.write(`${result}\n`);
  process.exit(EXIT_CODES[result]);
}
