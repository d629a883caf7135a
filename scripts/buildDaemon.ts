import { rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { build, type BuildOptions } from 'esbuild';
import { BUNDLE_FILE, COMPILED_FILE, LAUNCHER_FILE } from '../src/launcher/files.js';
import { ProgramBundle } from '../src/launcher/index.js';

// Builds the daemon of the users' platform into one folder: the program in one file, what the
// engine has compiled of it, and the launcher that starts it from both.

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
  // Finds its compiled part by its own folder.
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
