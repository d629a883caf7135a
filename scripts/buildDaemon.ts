/**
 * Builds the daemon of the users' platform into the folder that is named: the program in one file,
 * what the engine has compiled of it, and the launcher that starts it from both. The engine has to
 * run under the flags under which the daemon will.
 */
import { rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { build, type BuildOptions } from 'esbuild';
import { BUNDLE_FILE, COMPILED_FILE, LAUNCHER_FILE } from '../src/launcher/files.js';
import { ProgramBundle } from '../src/launcher/index.js';

const OPTIONS: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Modules before CommonJS: what is not used of a library is left out.
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  // A native part that is found from the folder of its own package.
  external: ['cbor-extract'],
  logLevel: 'warning',
};

const folder = process.argv[2] ?? 'target';
const bundleFile = join(process.cwd(), folder, BUNDLE_FILE);
const compiledFile = join(folder, COMPILED_FILE);

// A bundle is never to meet what was compiled of an earlier one.
rmSync(compiledFile, { force: true });
await Promise.all([
  build({ ...OPTIONS, entryPoints: ['platform/main.ts'], outfile: bundleFile }),
  build({
    ...OPTIONS,
    entryPoints: ['src/launcher/main.ts'],
    outfile: join(folder, LAUNCHER_FILE),
  }),
]);
const bundle = new ProgramBundle(bundleFile);
bundle.load();
writeFileSync(compiledFile, bundle.getCompiled());
