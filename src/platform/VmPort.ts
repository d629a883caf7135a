import type { VmRow } from '../tables/index.js';

/** The platform's lagging list of VMs and its controls over them. */
export interface VmPort {
  /**
   * Lists the VMs that the platform knows.
   * @returns The VMs, as of some seconds ago.
   * @throws RattanliftError Of kind `internal` where the platform does not answer.
   */
  list(): Promise<readonly VmRow[]>;

  /**
   * Makes a VM refuse new tasks; what runs goes on.
   * @param vm - Name of the VM.
   * @throws RattanliftError Of kind `internal` where the platform does not answer.
   */
  drain(vm: string): Promise<void>;

  /**
   * Lets a VM take tasks again.
   * @param vm - Name of the VM.
   * @throws RattanliftError Of kind `internal` where the platform does not answer.
   */
  undrain(vm: string): Promise<void>;

  /**
   * Reboots a VM, which cuts off every task that still runs on it.
   * @param vm - Name of the VM.
   * @param expectedBootId - Boot to end; the platform ignores the call when the VM shows another.
   * @throws RattanliftError Of kind `internal` where the platform does not answer.
   */
  reboot(vm: string, expectedBootId: string): Promise<void>;
}
