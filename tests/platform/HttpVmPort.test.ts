import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpVmPort } from '../../src/platform/index.js';
import { HttpTargetPort } from '../../src/targets/index.js';
import { PlatformStandIn } from '../../standins/platform/index.js';
import { TargetStandIn } from '../../standins/targets/index.js';
import { makeFleet } from '../support/index.js';

const VM = 'vm-001';
const FIRST_BOOT = `${VM}-boot#1`;
const SECOND_BOOT = `${VM}-boot#2`;
const LAG_MS = 60_000;

let platform: PlatformStandIn;
let targets: TargetStandIn;
let vms: HttpVmPort;

beforeEach(async () => {
  platform = new PlatformStandIn();
  const { port } = await platform.start();
  const fleet = makeFleet({
    workerCount: 1,
    vmCountPerWorker: 2,
    workerCountPerRack: 1,
    dataCentres: ['dc-a'],
  });
  targets = new TargetStandIn({ vms: fleet, platformPort: port, rebootMs: 1 });
  await targets.start();
  vms = new HttpVmPort({ host: '127.0.0.1', port, timeoutMs: 1000 });
});

afterEach(async () => {
  await vms.close();
  await targets.stop();
  await platform.stop();
});

async function getBootId(): Promise<string | undefined> {
  return (await vms.list()).find((row) => row.vm === VM)?.bootId;
}

describe('list', () => {
  it('lists the registered VMs', async () => {
    expect(await vms.list()).toEqual(targets.listVms());
  });

  it('fails in an outage of the list', async () => {
    platform.setFaults({ vmListOutage: true });
    await expect(vms.list()).rejects.toMatchObject({ kind: 'internal' });
  });
});

describe('reboot', () => {
  it('brings the VM back in another boot', async () => {
    await vms.reboot(VM, FIRST_BOOT);
    await expect.poll(getBootId).toBe(SECOND_BOOT);
  });

  // The answer to a reboot is lost, a successor repeats the order after the VM has come back.
  // The expected boot no longer fits, so the VM must not be rebooted a second time.
  it('changes nothing where the VM shows another boot', async () => {
    platform.setFaults({ lostControlAnswerCount: 1 });
    await expect(vms.reboot(VM, FIRST_BOOT)).rejects.toMatchObject({ kind: 'internal' });
    await expect.poll(getBootId).toBe(SECOND_BOOT);
    await vms.reboot(VM, FIRST_BOOT);
    expect(targets.listVms()[0]!.bootId).toBe(SECOND_BOOT);
  });

  // A VM is rebooted, but the list that instances read is old and still shows the former boot.
  it('shows up late in a lagging list', async () => {
    platform.setFaults({ vmListLagMs: LAG_MS });
    await vms.reboot(VM, FIRST_BOOT);
    await expect.poll(() => targets.listVms()[0]!.bootId).toBe(SECOND_BOOT);
    expect(await getBootId()).not.toBe(SECOND_BOOT);
  });
});

describe('drain', () => {
  async function isDraining(): Promise<boolean | undefined> {
    const port = new HttpTargetPort();
    const status = await port.getStatus(targets.getAddressOrThrow(VM));
    await port.close();
    return status?.draining;
  }

  it('reaches the VM, and ends with undrain', async () => {
    await vms.drain(VM);
    expect(await isDraining()).toBe(true);
    await vms.undrain(VM);
    expect(await isDraining()).toBe(false);
  });

  it('fails for a VM that the platform does not know', () =>
    expect(vms.drain('vm-999')).rejects.toMatchObject({ kind: 'internal' }));
});
