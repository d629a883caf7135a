import { execFileSync, spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { CRASH_MUTANTS } from './crashMutants.js';
import { DURABLE_JOB_MUTANTS } from './durableJobMutants.js';
import { FLEET_MUTANTS } from './fleetMutants.js';
import { MUTANTS as ONE_SHOT_MUTANTS } from './mutantList.js';
import { MOVED_QUEUE_MUTANTS } from './movedQueueMutants.js';
import type { Mutant } from './Mutant.js';
import { OLD_KNOWLEDGE_MUTANTS } from './oldKnowledgeMutants.js';
import { ORGANISATION_MUTANTS } from './organisationMutants.js';
import { RUN_LIFE_MUTANTS } from './runLifeMutants.js';

interface Report {
  readonly numPassedTests: number;
  readonly numFailedTests: number;
}

/** Report that the tests' own settings write. */
const REPORT = '.vitest-results.json';

/** Copies what git tracks to a folder of its own, so that no guard is taken out in place. */
function createCopy(): string {
  const folder = mkdtempSync(join(tmpdir(), 'rattanlift-mutants-'));
  const tracked = execFileSync('git', ['ls-files'], { encoding: 'utf8' }).trim().split('\n');
  tracked.forEach((file) => cpSync(file, join(folder, file), { recursive: true }));
  symlinkSync(resolve('node_modules'), join(folder, 'node_modules'));
  return folder;
}

function runTest(folder: string, mutant: Mutant): Report {
  const reportFile = join(folder, REPORT);
  rmSync(reportFile, { force: true });
  const name = mutant.name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
  const args = ['vitest', 'run', mutant.test, '-t', name];
  spawnSync('npx', args, { cwd: folder, stdio: 'ignore' });
  return JSON.parse(readFileSync(reportFile, 'utf8')) as Report;
}

/** Takes a guard out, runs its test, and puts the guard back. */
function judge(folder: string, mutant: Mutant): string {
  const path = join(folder, mutant.file);
  const original = readFileSync(path, 'utf8');
  if (original.split(mutant.find).length !== 2) return 'the guard is not found exactly once';
  const sound = runTest(folder, mutant);
  if (sound.numPassedTests === 0 || sound.numFailedTests > 0) return 'the test does not pass';
  writeFileSync(
    path,
    original.replace(mutant.find, () => mutant.replace),
  );
  const broken = runTest(folder, mutant);
  writeFileSync(path, original);
  return broken.numFailedTests > 0 ? 'caught' : 'NOT CAUGHT';
}

/** Parts of file names; only the guards of such files are taken out, where any is given. */
const wantedFiles = process.argv.slice(2);
const MUTANTS: readonly Mutant[] = [
  ...ONE_SHOT_MUTANTS,
  ...DURABLE_JOB_MUTANTS,
  ...CRASH_MUTANTS,
  ...FLEET_MUTANTS,
  ...MOVED_QUEUE_MUTANTS,
  ...OLD_KNOWLEDGE_MUTANTS,
  ...ORGANISATION_MUTANTS,
  ...RUN_LIFE_MUTANTS,
].filter(({ file }) => wantedFiles.length === 0 || wantedFiles.some((part) => file.includes(part)));

const copy = createCopy();
const verdicts = MUTANTS.map((mutant, index) => {
  const verdict = judge(copy, mutant);
  console.log(`${index + 1}/${MUTANTS.length} ${verdict}: ${mutant.failure} (${mutant.file})`);
  return verdict;
});
rmSync(copy, { recursive: true, force: true });
const caughtCount = verdicts.filter((verdict) => verdict === 'caught').length;
console.log(`${caughtCount} of ${MUTANTS.length} broken guards are caught by their tests.`);
process.exitCode = caughtCount === MUTANTS.length ? 0 : 1;
