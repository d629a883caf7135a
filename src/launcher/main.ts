import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { BUNDLE_FILE, COMPILED_FILE } from './files.js';
import { ProgramBundle } from './ProgramBundle.js';

const folder = dirname(process.argv[1]!);
const bundle = new ProgramBundle(
  join(folder, BUNDLE_FILE),
  readFileSync(join(folder, COMPILED_FILE)),
);
if (bundle.isCompiledAnew) {
  process.stderr.write('The program was compiled for another Node.js; this start takes longer.\n');
}
bundle.load().run();
