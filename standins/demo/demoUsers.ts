import { readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { applyEdits, modify } from 'jsonc-parser';
import { z } from 'zod';
import { checkTeamSettings, formatProblem, type TeamSettings } from '../../src/settings/index.js';
import { readConfigFile } from '../platform/index.js';
import { makeFleet, type TargetVmSpec } from '../targets/index.js';

/** One of the users whose example settings the demo runs. */
export interface DemoUser {
  readonly name: string;
  readonly vms: readonly TargetVmSpec[];
  readonly files: readonly DemoFile[];
}

/** A team's settings as the demo publishes them. */
export interface DemoFile {
  readonly fileName: string;
  readonly document: string;
  readonly settings: TeamSettings;
}

const EXAMPLES_DIRECTORY = 'examples';
const FLEET_FILE_NAME = 'fleet.jsonc';
const USER_NAMES = ['trentvale', 'association'];
const MINUTES_PER_DAY = 1440;

const fleetSchema = z.object({
  dataCentres: z.array(z.object({ name: z.string() })).min(1),
  workersPerRack: z.int().positive(),
  workerCount: z.int().positive(),
  vmsPerWorker: z.int().positive(),
  slotsPerVm: z.int().positive(),
  coresPerVm: z.number().positive(),
  memoryMbPerVm: z.number().positive(),
});

function parseSettings(document: string, path: string): TeamSettings {
  const checked = checkTeamSettings(document, path);
  if (checked.type === 'valid') return checked.value;
  throw new Error(checked.problems.map(formatProblem).join('\n'));
}

/**
 * Fits an example to the demo, in which both users share one platform and maintenance cannot wait
 * for the night: pools stay in their user's data centres, and their windows are open all day.
 */
function readDemoFile(path: string, dataCentres: readonly string[]): DemoFile {
  const example = readFileSync(path, 'utf8');
  const changes = Object.keys(parseSettings(example, path).pools).flatMap((pool) => [
    { place: ['pools', pool, 'dataCentres'], value: dataCentres },
    { place: ['pools', pool, 'maintenance', 'windowStartMinuteOfDay'], value: 0 },
    { place: ['pools', pool, 'maintenance', 'windowEndMinuteOfDay'], value: MINUTES_PER_DAY },
  ]);
  const document = changes.reduce(
    (text, { place, value }) => applyEdits(text, modify(text, place, value, {})),
    example,
  );
  return { fileName: basename(path), document, settings: parseSettings(document, path) };
}

function readDemoUser(name: string): DemoUser {
  const directory = join(EXAMPLES_DIRECTORY, name);
  const fleet = readConfigFile(join(directory, FLEET_FILE_NAME), fleetSchema);
  const dataCentres = fleet.dataCentres.map((dataCentre) => dataCentre.name);
  const files = readdirSync(directory)
    .filter((fileName) => fileName.endsWith('.team.jsonc'))
    .map((fileName) => readDemoFile(join(directory, fileName), dataCentres));
  const vms = makeFleet({
    namePrefix: `${name}-`,
    workerCount: fleet.workerCount,
    vmCountPerWorker: fleet.vmsPerWorker,
    workerCountPerRack: fleet.workersPerRack,
    coreCount: fleet.coresPerVm,
    memoryMb: fleet.memoryMbPerVm,
    slotCount: fleet.slotsPerVm,
    dataCentres,
  });
  return { name, vms, files };
}

/**
 * Reads the example settings and fleets of both users.
 * @returns The users.
 * @throws Error Where an example is broken.
 */
export function readDemoUsers(): readonly DemoUser[] {
  return USER_NAMES.map(readDemoUser);
}
