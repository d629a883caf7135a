/** The program in one file, beside the launcher. */
export const BUNDLE_FILE = 'daemon.cjs';
/** What the engine has compiled of it. */
export const COMPILED_FILE = 'daemon.compiled';
/** The launcher, which an entry VM runs. */
export const LAUNCHER_FILE = 'rattanliftd.cjs';
