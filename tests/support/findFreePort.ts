import { type AddressInfo, createServer } from 'node:net';

/**
 * Finds a port of this machine that nobody listens on at this moment.
 * @returns The port.
 */
export function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
