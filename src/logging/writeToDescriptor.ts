import { write } from 'node:fs';

/** Pause before a descriptor that takes nothing is tried again, in milliseconds. */
const RETRY_MS = 20;

/**
 * Writes text to a file descriptor from a thread of the runtime, so that a full pipe holds up that
 * thread and not the process.
 * @param descriptor - Number of the descriptor.
 * @param text - The text.
 * @param onWritten - Called once all of it is written, or cannot be.
 */
export function writeToDescriptor(descriptor: number, text: string, onWritten: () => void): void {
  const bytes = Buffer.from(text, 'utf8');
  const writeFrom = (offset: number): void => {
    write(descriptor, bytes, offset, bytes.length - offset, null, (error, writtenCount) => {
      if (error?.code === 'EAGAIN') setTimeout(() => writeFrom(offset), RETRY_MS);
      // Nobody is left to tell where standard output itself is gone.
      else if (error !== null || offset + writtenCount >= bytes.length) onWritten();
      else writeFrom(offset + writtenCount);
    });
  };
  writeFrom(0);
}
