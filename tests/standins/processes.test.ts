import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpVmPort } from '../../src/platform/index.js';
import { endProcesses, makeFleet, startProcess, type TestProcess } from '../support/index.js';

const READY_LINE = /^listening (\d+)$/;

let directory: string;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'rattanlift-'));
});

afterEach(async () => {
  await endProcesses();
  rmSync(directory, { recursive: true });
});

async function start(program: string, config: unknown): Promise<[TestProcess, number]> {
  const path = join(directory, `${program}.jsonc`);
  writeFileSync(path, `// Test.\n${JSON.stringify(config)}`);
  const managed = await startProcess({
    program: `standins/${program}/main.js`,
    args: ['--config', path],
  });
  const [, port] = await managed.waitForLine(READY_LINE);
  return [managed, Number(port)];
}

describe('main', () => {
  it('starts a fleet that the platform lists, and ends on SIGTERM', async () => {
    const [platform, platformPort] = await start('platform', { port: 0 });
    const vms = makeFleet({
      workerCount: 2,
      vmCountPerWorker: 2,
      workerCountPerRack: 1,
      dataCentres: ['dc-a', 'dc-b'],
    });
    const [targets] = await start('targets', { vms, platformPort });
    const port = new HttpVmPort({ host: '127.0.0.1', port: platformPort });
    const listed = await port.list();
    await port.close();
    expect(listed.map(({ vm, dataCentre }) => [vm, dataCentre])).toEqual([
      ['vm-001', 'dc-a'],
      ['vm-002', 'dc-a'],
      ['vm-003', 'dc-b'],
      ['vm-004', 'dc-b'],
    ]);
    [targets, platform].forEach((managed) => managed.signal('SIGTERM'));
    expect(await targets.ended).toEqual({ code: 0, signal: null });
    expect(await platform.ended).toEqual({ code: 0, signal: null });
  });

  it('names the file and the field of a bad setting', async () => {
    const path = join(directory, 'bad.jsonc');
    writeFileSync(path, '{ "port": "eighty" }');
    const program = 'standins/platform/main.js';
    const managed = await startProcess({ program, args: ['--config', path] });
    expect(await managed.ended).toMatchObject({ code: 1 });
    expect(managed.lines.join('\n')).toMatch(/bad\.jsonc: [^]*port/);
  });
});
