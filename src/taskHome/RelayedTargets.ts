import { throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import type { PeerAddress, PeerPort } from '../peers/index.js';
import {
  callTarget,
  type LeaseAnswer,
  type LeasedTargetAddress,
  type LeasedTargetPort,
  type LeaseRenewal,
  type OrderAnswer,
  type StartAnswer,
  type TargetAnswer,
  type TargetCall,
  type TaskStart,
} from '../targets/index.js';
import { type Clock, rankByRendezvous } from '../utils/index.js';

/** Options of {@link RelayedTargets}. */
export interface RelayedTargetsOptions {
  /** The targets as this instance reaches them itself. */
  readonly targets: LeasedTargetPort;
  readonly peers: PeerPort;
  /** Processor that this instance may use, in cores. */
  readonly coreCount: number;
  /** Instances that may make calls for this one. */
  readonly listRelays: () => readonly PeerAddress[];
  readonly clock: Clock;
  readonly events: EventLog;
}

/**
 * Processor that calls to a target in a rush take, in cores: 25 starts and 20 looks a second of 0.3
 * ms each.
 */
const CORES_PER_TARGET = 0.015;
/** Share of its processor that an instance spends on calls to targets of its own. */
const OWN_CALLS_SHARE = 0.4;
/** Most targets that an instance calls itself, whatever it can carry: a quarter of a core. */
const MAX_OWN_TARGET_COUNT = 16;
/** Time after which a target that is not called any more frees its place, in ms: two leases. */
const FORGET_AFTER_MS = 10_000;
/** Longest wait for a relay's reply beyond the target's own, in ms: above an order's 1 s. */
const RELAY_WAIT_MS = 1_300;
/** How often the relays are listed, in ms: the group that names them is read each second. */
const RELAYS_EVERY_MS = 500;
/** How long a relay, or the relay of a target, is not used after a failure, in milliseconds. */
const AVOID_MS = 5_000;

/**
 * Counts the targets that an instance calls itself.
 *
 * Guards against a home on a tenth of a core that takes on as many as one on a whole core: the
 * calls alone are then twice its processor, and leases lapse that it cannot renew in time.
 * @param coreCount - Processor of the instance, in cores.
 * @returns How many; one at least.
 */
export function countOwnTargets(coreCount: number): number {
  const affordableCount = Math.floor((OWN_CALLS_SHARE * coreCount) / CORES_PER_TARGET);
  return Math.min(MAX_OWN_TARGET_COUNT, Math.max(1, affordableCount));
}

/**
 * Calls targets through other instances where there are many.
 *
 * Answers pools of 60 targets whose home runs on a third of a core: an HTTP call costs 0.3 ms, so
 * 1,600 starts a second are more than the core, and a home that falls behind loses its leases. The
 * home still decides alone; an instance that holds no home makes the calls in its name, with its
 * term. A call that is lost or late on the way is one without an answer, as the target's own may
 * be, so the guards against those hold here too.
 */
export class RelayedTargets implements LeasedTargetPort {
  private readonly options: RelayedTargetsOptions;

  private readonly ownTargetCount: number;

  /** Targets that this instance calls itself, with the monotonic time of their last call. */
  private readonly own = new Map<string, number>();

  /** Instances without a reply, and targets without an answer through a relay, until when. */
  private readonly avoidedUntilMs = new Map<string, number>();

  private relays: readonly PeerAddress[] = [];

  private relaysListedAtMs = Number.NEGATIVE_INFINITY;

  /** Relays of targets among the present ones. */
  private readonly relayOf = new Map<string, PeerAddress>();

  /**
   * Creates a port that calls the first targets itself.
   * @param options - The targets, and who may call them too.
   */
  constructor(options: RelayedTargetsOptions) {
    this.options = options;
    this.ownTargetCount = countOwnTargets(options.coreCount);
  }

  /** {@inheritDoc LeasedTargetPort.start} */
  async start(target: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    return (await this.call(target, { type: 'start', start })) as StartAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  async stop(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<OrderAnswer> {
    return (await this.call(target, { type: 'stop', taskName, run, term })) as OrderAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  async pace(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    percent: number,
    term: number,
  ): Promise<OrderAnswer> {
    const call = { type: 'pace', taskName, run, percent, term } as const;
    return (await this.call(target, call)) as OrderAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  async renew(target: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    return (await this.call(target, { type: 'renew', renewal })) as LeaseAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  forget(targetId: string): void {
    this.own.delete(targetId);
    this.relayOf.delete(targetId);
    this.avoidedUntilMs.delete(targetId);
    this.options.targets.forget(targetId);
  }

  private call(target: LeasedTargetAddress, call: TargetCall): Promise<TargetAnswer> {
    const relay = this.isOwn(target.targetId) ? undefined : this.findRelay(target.targetId);
    return relay === undefined
      ? callTarget(this.options.targets, target, call)
      : this.callThrough(relay, target, call);
  }

  private isOwn(targetId: string): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (this.own.has(targetId)) {
      this.own.set(targetId, nowMs);
      return true;
    }
    if (this.own.size >= this.ownTargetCount) this.forgetUnused(nowMs);
    if (this.own.size >= this.ownTargetCount) return false;
    this.own.set(targetId, nowMs);
    return true;
  }

  private forgetUnused(nowMs: number): void {
    [...this.own]
      .filter(([, calledAtMs]) => nowMs - calledAtMs > FORGET_AFTER_MS)
      .forEach(([targetId]) => this.own.delete(targetId));
  }

  private isAvoided(name: string): boolean {
    const untilMs = this.avoidedUntilMs.get(name);
    if (untilMs === undefined) return false;
    if (this.options.clock.monotonicMs() < untilMs) return true;
    this.avoidedUntilMs.delete(name);
    return false;
  }

  /** Finds who calls a target; undefined where this instance has to do it itself. */
  private findRelay(targetId: string): PeerAddress | undefined {
    if (this.isAvoided(targetId)) return undefined;
    this.listRelays();
    const known = this.relayOf.get(targetId) ?? this.chooseRelay(targetId);
    if (known === undefined || this.isAvoided(known.instance)) return undefined;
    this.relayOf.set(targetId, known);
    return known;
  }

  private listRelays(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.relaysListedAtMs < RELAYS_EVERY_MS) return;
    this.relaysListedAtMs = nowMs;
    this.relays = this.options.listRelays();
    const present = new Set(this.relays.map(({ instance }) => instance));
    [...this.relayOf]
      .filter(([, { instance }]) => !present.has(instance))
      .forEach(([targetId]) => this.relayOf.delete(targetId));
  }

  private chooseRelay(targetId: string): PeerAddress | undefined {
    const names = this.relays.map(({ instance }) => instance);
    const [first] = rankByRendezvous(targetId, names);
    return this.relays.find(({ instance }) => instance === first);
  }

  /**
   * Guards against a relay that is gone or cut off: its targets would count as silent until the
   * group has noticed, 2 to 3 s later, though this instance reaches them. After one failure it
   * calls them itself.
   */
  private async callThrough(
    relay: PeerAddress,
    target: LeasedTargetAddress,
    call: TargetCall,
  ): Promise<TargetAnswer> {
    const { peers } = this.options;
    const targetWaitMs = call.type === 'renew' ? call.renewal.waitMs : 0;
    // What is known of the target besides would be twice as long as the call itself.
    const { targetId, host, port } = target;
    const request = { type: 'call-target', target: { targetId, host, port }, call } as const;
    try {
      const reply = await peers.call(relay, request, RELAY_WAIT_MS + targetWaitMs);
      if (reply.type === 'target-answer') return reply.answer;
      const message = reply.type === 'refused' ? reply.message : `It replied ${reply.type}.`;
      return throwError('target-silent', message);
    } catch (thrown) {
      const { kind, message: reason } = toRattanliftError(thrown);
      this.avoid(targetId);
      // A relay that replies does its work; its target may just have left.
      if (kind !== 'target-silent') this.avoid(relay.instance);
      const fields = { relay: relay.instance, targetId, call: call.type, reason };
      this.options.events.write('relayFailed', fields);
      throw thrown;
    }
  }

  private avoid(name: string): void {
    this.avoidedUntilMs.set(name, this.options.clock.monotonicMs() + AVOID_MS);
  }
}
