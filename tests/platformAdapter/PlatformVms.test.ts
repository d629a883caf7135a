import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { PlatformVms } from '../../platform/PlatformVms.js';
import { TcpForwarder } from '../support/index.js';

const VM_COUNT = 2_000;
const LINK_BYTES_PER_S = 2_000_000 / 8;

function makeRow(number: number) {
  return {
    machine: `machine-${number}`,
    pool: `pool-${number % 65}`,
    state: 'up',
    zone: `hall-${number % 7}`,
    labels: ['large', `rack-${number % 100}`],
    free_capacity: { cpu: 32_000, mem_mb: 128_000, gpu: 0 },
    id: number.toString(16).padStart(16, '0'),
  };
}

describe('PlatformVms', () => {
  let server: Server;
  let forwarder: TcpForwarder;
  let vms: PlatformVms;
  let answer: (response: ServerResponse) => void;

  beforeEach(async () => {
    server = createServer((_request, response) => answer(response));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    forwarder = new TcpForwarder((server.address() as AddressInfo).port);
    await forwarder.start();
    forwarder.toClientBytesPerS = LINK_BYTES_PER_S;
    vms = new PlatformVms({ host: '127.0.0.1', port: forwarder.port });
  });

  afterEach(async () => {
    await forwarder.stop();
    server.closeAllConnections();
    server.close();
  });

  // Guards against a fleet that nobody manages: a narrow link carries no whole list in a second.
  it('lists 2,000 VMs on a narrow link', { timeout: 15_000 }, async () => {
    const machines = Array.from({ length: VM_COUNT }, (_none, number) => makeRow(number));
    const list = JSON.stringify({ machines, next_token: '' });
    answer = (response) => response.end(list);
    expect(list.length).toBeGreaterThan(LINK_BYTES_PER_S);
    expect(await vms.listVms()).toHaveLength(VM_COUNT);
  });

  // Guards against passes of the fleet's home that wait for a platform that has fallen silent.
  it('gives a list up that has stopped arriving', async () => {
    answer = (response) => response.write('{"machines":[');
    const startedAtMs = performance.now();
    await expect(vms.listVms()).rejects.toThrow();
    expect(performance.now() - startedAtMs).toBeLessThan(2_000);
  });

  // Guards against a fleet whose home ends, or stops listing it, at one odd row of the list.
  it('tells why it cannot read a list, in a few words, and reads the next one', async () => {
    const rows = [makeRow(1), makeRow(2)];
    const depth = 100_000;
    const nested = '['.repeat(depth) + ']'.repeat(depth);
    const toList = (row: string): string => `{"machines":[${JSON.stringify(rows[0])},${row}]}`;
    const whole = JSON.stringify({ machines: rows });
    forwarder.toClientBytesPerS = Infinity;
    await [nested, toList(nested), toList('null'), toList('{"machine":1e400}'), '['].reduce(
      async (before, odd) => {
        await before;
        answer = (response) => response.end(odd);
        const reason = await vms.listVms().then(() => '', String);
        expect(reason).not.toBe('');
        expect(reason.length).toBeLessThan(2_000);
        answer = (response) => response.end(whole);
        expect(await vms.listVms()).toHaveLength(rows.length);
      },
      Promise.resolve(),
    );
  });
});
