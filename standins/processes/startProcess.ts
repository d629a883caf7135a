import { ManagedProcess, type ProcessOptions } from './ManagedProcess.js';

const started = new Set<ManagedProcess>();

/**
 * Starts a program and waits until it is ready.
 * @param options - Program, arguments and ready line.
 * @returns The process.
 */
export async function startProcess(options: ProcessOptions): Promise<ManagedProcess> {
  const managed = new ManagedProcess(options);
  started.add(managed);
  if (options.readyLine !== undefined) await managed.waitForLine(options.readyLine);
  return managed;
}

/** Ends every process that {@link startProcess} started, whatever its state. */
export async function endProcesses(): Promise<void> {
  const all = [...started];
  started.clear();
  await Promise.all(all.map((managed) => managed.kill()));
}
