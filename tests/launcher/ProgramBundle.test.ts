import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ProgramBundle } from '../../src/launcher/index.js';

const PROGRAM = `
  const { basename } = require('node:path');
  const calls = [];
  exports.calls = calls;
  exports.run = () => calls.push([basename(__filename), basename(__dirname), module.exports === exports]);
`;

describe('ProgramBundle', () => {
  let folder: string;
  let fileName: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'bundle-'));
    fileName = join(folder, 'program.cjs');
    writeFileSync(fileName, PROGRAM);
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  const run = (bundle: ProgramBundle): unknown => {
    const program = bundle.load() as ReturnType<ProgramBundle['load']> & { calls: unknown };
    program.run();
    return program.calls;
  };

  const expected = (): unknown => [['program.cjs', folder.split('/').at(-1), true]];

  it('runs a program as a module of its own file', () => {
    expect(run(new ProgramBundle(fileName))).toEqual(expected());
  });

  it('takes what was compiled before', () => {
    const first = new ProgramBundle(fileName);
    first.load();
    const next = new ProgramBundle(fileName, first.getCompiled());
    expect(next.isCompiledAnew).toBe(false);
    expect(run(next)).toEqual(expected());
  });

  // An entry VM may have another Node.js than the one that built the program. Its engine refuses
  // what the other one compiled, and the daemon has to start all the same.
  it('compiles the program anew where what was compiled is of no use', () => {
    const bundle = new ProgramBundle(fileName, Buffer.from('of another engine'));
    expect(bundle.isCompiledAnew).toBe(true);
    expect(run(bundle)).toEqual(expected());
  });
});
