import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import {
  checkTeamSettings,
  type PoolSettings,
  parseJsonWithComments,
} from '../../src/settings/index.js';
import { checkBudget, planCapacity } from '../../src/systems/index.js';
import { PoolTables, type VmRow } from '../../src/tables/index.js';
import { expandFleet, fleetSchema } from './expandFleet.js';

const EXAMPLES = new URL('../../examples/', import.meta.url);
const TEAM_SUFFIX = '.team.jsonc';

function readExample(path: string): string {
  return readFileSync(new URL(path, EXAMPLES), 'utf8');
}

function readFleet(deployment: string): readonly VmRow[] {
  const fileName = `${deployment}/fleet.jsonc`;
  const text = readExample(fileName);
  const parsed = parseJsonWithComments({ text, fileName, schema: fleetSchema });
  if (parsed.type === 'invalid') throw new Error(JSON.stringify(parsed.problems));
  return expandFleet(parsed.value);
}

function checkTeams(deployment: string) {
  const files = readdirSync(new URL(`${deployment}/`, EXAMPLES));
  return files
    .filter((file) => file.endsWith(TEAM_SUFFIX))
    .map((file) => ({
      team: file.slice(0, -TEAM_SUFFIX.length),
      result: checkTeamSettings(readExample(`${deployment}/${file}`), file),
    }));
}

function listPools(deployment: string): readonly (readonly [string, PoolSettings])[] {
  return checkTeams(deployment).flatMap(({ result }) => {
    if (result.type === 'invalid') return [];
    const { team, pools } = result.value;
    return Object.entries(pools).map(([name, pool]) => [`${team}/${name}`, pool] as const);
  });
}

/** Lets one pool after the other take the VMs that it needs. */
function fillPools(deployment: string) {
  const free = new Map(readFleet(deployment).map((vm) => [vm.vm, vm]));
  const verdicts = listPools(deployment).map(([name, settings]) => {
    const tables = new PoolTables(name, settings);
    planCapacity(tables, { nowMs: 0, unassignedVms: [...free.values()] }).forEach(({ vm }) => {
      tables.vms.put({ ...free.get(vm)!, condition: 'accepting' });
      free.delete(vm);
    });
    return { pool: name, type: checkBudget(tables, { nowMs: 0 }).type };
  });
  return { verdicts, spareVmCount: free.size };
}

describe.each([
  { deployment: 'trentvale', vmCount: 70, slotCount: 280, coreCount: 1120, memoryGb: 4480 },
  { deployment: 'association', vmCount: 80, slotCount: 320, coreCount: 1280, memoryGb: 2560 },
])('example of $deployment', ({ deployment, vmCount, slotCount, coreCount, memoryGb }) => {
  it('is accepted without warnings, each document named for its team', () => {
    checkTeams(deployment).forEach(({ team, result }) => {
      expect(result).toMatchObject({ type: 'valid', value: { team }, warnings: [] });
    });
    expect(listPools(deployment)).toHaveLength(5);
  });

  it('has the size that the deployment has', () => {
    const vms = readFleet(deployment);
    const sumOf = (valueOf: (vm: VmRow) => number) => vms.reduce((sum, vm) => sum + valueOf(vm), 0);
    expect({
      vmCount: vms.length,
      slotCount: sumOf((vm) => vm.slotCount),
      coreCount: sumOf((vm) => vm.coreCount),
      memoryGb: sumOf((vm) => vm.memoryMb) / 1024,
    }).toEqual({ vmCount, slotCount, coreCount, memoryGb });
  });

  it('fits its fleet: every pool within its budget, with VMs left for waves', () => {
    const { verdicts, spareVmCount } = fillPools(deployment);
    expect(verdicts.filter(({ type }) => type !== 'within')).toEqual([]);
    expect(spareVmCount).toBeGreaterThan(0);
  });
});
