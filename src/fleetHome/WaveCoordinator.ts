import type { EventLog } from '../logging/index.js';
import type { KeyedRecord } from '../store/index.js';
import { type Mechanisms, planMaintenance, type TargetLoad } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm } from '../vms/index.js';
import { estimateLeftMs } from './estimateLeftMs.js';
import { isEmpty } from './isEmpty.js';
import { FINAL_REFUSALS, type VmOrders } from './VmOrders.js';
import type { WaveOrder } from './WaveOrder.js';
import { encodeWaveRecord, type WaveRecord, type WaveStatus } from './WaveRecord.js';
import { WaveStepTimer } from './WaveStepTimer.js';

/** Options of {@link WaveCoordinator}. */
export interface WaveCoordinatorOptions {
  readonly orders: VmOrders;
  /** Progress of the waves, as stored by an earlier home. */
  readonly records: readonly WaveRecord[];
  readonly listWaveOrders: () => readonly WaveOrder[];
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
  readonly publishStatus: (wave: number, status: WaveStatus) => Promise<void>;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly mechanisms: Mechanisms;
}

interface WaveProgress {
  readonly wave: number;
  /** Monotonic time by which the maintenance of every VM has to have begun. */
  readonly deadlineMs: number;
  readonly doneVms: readonly string[];
  readonly status: WaveStatus;
}

/** Carries out maintenance waves: drains VMs, orders their maintenance and publishes the status. */
export class WaveCoordinator {
  private readonly options: WaveCoordinatorOptions;

  private readonly progress = new Map<number, WaveProgress>();

  private readonly published = new Map<number, WaveStatus>();

  /** Waves of the VMs that are being drained, by VM. */
  private readonly draining = new Map<string, number>();

  private readonly stepTimer: WaveStepTimer;

  /**
   * Creates a coordinator that continues the stored waves.
   * @param options - Orders, stored progress and the destinations of progress updates.
   */
  constructor(options: WaveCoordinatorOptions) {
    this.options = options;
    this.stepTimer = new WaveStepTimer(options.clock);
    options.records.forEach((record) =>
      this.progress.set(record.wave, this.restoreProgress(record)),
    );
  }

  /**
   * Lists the VMs that a wave drains, which get no new tasks.
   * @returns The names of the VMs.
   */
  listDrainingVms(): ReadonlySet<string> {
    return new Set(this.draining.keys());
  }

  /**
   * Advances every wave: orders the maintenance of empty VMs and drains further VMs.
   * @param vms - The VMs as listed.
   * @param loads - Load of each target, reported after the homes knew of the last call's drains.
   */
  async advance(vms: readonly FleetVm[], loads: ReadonlyMap<string, TargetLoad>): Promise<void> {
    const orders = this.options.listWaveOrders();
    this.stepTimer.endStepsExcept(
      new Set(orders.flatMap((order) => [...this.listInProgress(order)])),
    );
    await Promise.all(orders.map((order) => this.advanceWave(order, vms, loads)));
  }

  private async advanceWave(
    order: WaveOrder,
    vms: readonly FleetVm[],
    loads: ReadonlyMap<string, TargetLoad>,
  ): Promise<void> {
    if (this.getProgress(order).status === 'running') {
      await this.maintainEmptyVms(order, vms, loads);
      this.drainNext(order, vms, loads);
      await this.completeIfDone(order, vms);
    }
    await this.publish(order.wave);
  }

  private restoreProgress(record: WaveRecord): WaveProgress {
    const { clock } = this.options;
    const { wave, doneVms, status } = record;
    const leftMs = estimateLeftMs(record, clock.wallMs());
    return { wave, deadlineMs: clock.monotonicMs() + leftMs, doneVms, status };
  }

  private getProgress({ wave, withinMs }: WaveOrder): WaveProgress {
    const known = this.progress.get(wave);
    if (known !== undefined) return known;
    const deadlineMs = this.options.clock.monotonicMs() + withinMs;
    const started: WaveProgress = { wave, deadlineMs, doneVms: [], status: 'running' };
    this.progress.set(wave, started);
    return started;
  }

  private drainNext(
    order: WaveOrder,
    vms: readonly FleetVm[],
    loads: ReadonlyMap<string, TargetLoad>,
  ): void {
    const { clock } = this.options;
    const progress = this.progress.get(order.wave)!;
    const usesMeasuredSteps = this.options.mechanisms.has('observed-wave-steps');
    this.drain(
      order,
      this.listUnconfirmed(order, vms)
        .filter(({ vm, state }) => state === 'up' && !this.draining.has(vm))
        .map(({ vm }) => vm),
    );
    const next = planMaintenance({
      wave: { ...order, ...progress, doneVms: new Set(progress.doneVms) },
      vms,
      loads,
      inProgress: this.listInProgress(order),
      nowMs: clock.monotonicMs(),
      stepMs: usesMeasuredSteps ? this.stepTimer.expectedMs : undefined,
    });
    this.drain(order, next);
  }

  private drain({ wave }: WaveOrder, vms: readonly string[]): void {
    const { doneVms } = this.progress.get(wave)!;
    vms.forEach((vm) => {
      this.draining.set(vm, wave);
      this.stepTimer.startStep(vm);
      this.options.events.write('vmDraining', { vm, wave, doneCount: doneVms.length });
    });
  }

  private listInProgress({ wave }: WaveOrder): ReadonlySet<string> {
    const draining = [...this.draining].filter(([, ofWave]) => ofWave === wave).map(([vm]) => vm);
    return new Set([...draining, ...this.listVmsUnderMaintenance(wave)]);
  }

  /**
   * Lists the VMs of a wave that are or may be down, whichever home ordered the maintenance.
   *
   * The VMs that an earlier home took down are not among this home's orders. Without them, a wave
   * would take one VM too many down after a change of homes. Such a VM shows as in maintenance in
   * the list, or its stored order is recent, or the order got no answer and may still be carried
   * out.
   */
  private listPossiblyDownVms(order: WaveOrder, vms: readonly FleetVm[]): ReadonlySet<string> {
    const ofWave = new Set(order.vms);
    const listed = vms.filter(({ state }) => state === 'in-maintenance').map(({ vm }) => vm);
    const leased = this.options.orders.listLeasedVms();
    const downByEarlierHomes = [...listed, ...leased].filter((vm) => ofWave.has(vm));
    const unconfirmed = this.listUnconfirmed(order, vms).map(({ vm }) => vm);
    return new Set([
      ...this.listVmsUnderMaintenance(order.wave),
      ...downByEarlierHomes,
      ...unconfirmed,
    ]);
  }

  /** Lists the VMs whose maintenance was ordered by an earlier home with unknown result. */
  private listUnconfirmed({ wave }: WaveOrder, vms: readonly FleetVm[]): readonly FleetVm[] {
    const done = new Set(this.progress.get(wave)!.doneVms);
    const unconfirmed = new Set(this.options.orders.listUnconfirmedVms(wave));
    return vms.filter(({ vm }) => unconfirmed.has(vm) && !done.has(vm));
  }

  private listVmsUnderMaintenance(wave: number): readonly string[] {
    return this.options.orders
      .listActiveOrders()
      .filter((order) => order.type === 'maintain' && order.wave === wave)
      .map(({ vm }) => vm);
  }

  private async maintainEmptyVms(
    order: WaveOrder,
    vms: readonly FleetVm[],
    loads: ReadonlyMap<string, TargetLoad>,
  ): Promise<void> {
    const possiblyDown = this.listPossiblyDownVms(order, vms);
    const freeCount = Math.max(0, order.maxDownCount - possiblyDown.size);
    const ready = vms
      .filter(({ vm }) => this.draining.get(vm) === order.wave)
      .filter((vm) => vm.state === 'up' && isEmpty(vm, loads));
    const counted = ready.filter(({ vm }) => possiblyDown.has(vm));
    const further = ready.filter(({ vm }) => !possiblyDown.has(vm)).slice(0, freeCount);
    const outcomes = await Promise.all(
      [...counted, ...further].map((vm) => this.orderMaintenance(order, vm)),
    );
    if (outcomes.includes(true)) await this.store(order.wave);
  }

  /** Orders the maintenance of a VM; returns whether the wave has no more to do for this VM. */
  private async orderMaintenance({ wave }: WaveOrder, { vm, targetId }: FleetVm): Promise<boolean> {
    const { orders } = this.options;
    const outcome = await orders.issue({ type: 'maintain', vm, wave }, targetId);
    if (outcome !== 'accepted' && !FINAL_REFUSALS.has(outcome)) return false;
    this.draining.delete(vm);
    const progress = this.progress.get(wave)!;
    this.progress.set(wave, { ...progress, doneVms: [...progress.doneVms, vm] });
    return true;
  }

  /** Completes a wave once the maintenance of each of its VMs that are still listed has begun. */
  private async completeIfDone(
    { wave, vms: waveVms }: WaveOrder,
    vms: readonly FleetVm[],
  ): Promise<void> {
    const progress = this.progress.get(wave)!;
    const done = new Set(progress.doneVms);
    const listed = new Set(vms.map(({ vm }) => vm));
    if (!waveVms.every((vm) => done.has(vm) || !listed.has(vm))) return;
    this.progress.set(wave, { ...progress, status: 'completed' });
    this.options.events.write('waveFinished', { wave, doneCount: done.size });
    await this.store(wave);
  }

  private store(wave: number): Promise<void> {
    const { clock, store } = this.options;
    const { deadlineMs, ...progress } = this.progress.get(wave)!;
    const leftMs = deadlineMs - clock.monotonicMs();
    const deadlineAtMs = clock.wallMs() + leftMs;
    return store([encodeWaveRecord({ ...progress, deadlineAtMs, leftMs })]);
  }

  /**
   * Publishes a changed status to operators. The wave is stored before its first publication; a
   * completed wave is already stored.
   *
   * The publication is not waited for. It is repeated until the store answers, and meanwhile no VM
   * would be moved, and no home would be told of lost VMs and of limits.
   */
  private async publish(wave: number): Promise<void> {
    const { status } = this.progress.get(wave)!;
    if (this.published.get(wave) === status) return;
    if (status === 'running') await this.store(wave);
    this.published.set(wave, status);
    // The writer reports why it has failed; the next pass publishes the status again.
    this.options.publishStatus(wave, status).catch(() => this.forgetPublication(wave, status));
  }

  private forgetPublication(wave: number, status: WaveStatus): void {
    if (this.published.get(wave) === status) this.published.delete(wave);
  }
}
