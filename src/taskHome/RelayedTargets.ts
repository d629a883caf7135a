import { throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import type { PeerAddress, PeerPort } from '../peers/index.js';
import {
  callTarget,
  type LeaseAnswer,
  type LeasedTargetAddress,
  type LeasedTargetPort,
  type LeaseRenewal,
  type CommandAnswer,
  type StartAnswer,
  type TargetAnswer,
  type TargetCall,
  type TaskStart,
} from '../targets/index.js';
import { type Clock, type LoopLoad, rankByRendezvous, TokenBucket } from '../utils/index.js';

/** Options of {@link RelayedTargets}. */
export interface RelayedTargetsOptions {
  /** Port through which this instance calls targets directly. */
  readonly targets: LeasedTargetPort;
  readonly peers: PeerPort;
  /** CPU that this instance may use, in cores. */
  readonly coreCount: number;
  /** Lists the instances that may relay calls for this one. */
  readonly listRelays: () => readonly PeerAddress[];
  readonly clock: Clock;
  readonly events: EventLog;
  /** How much of the time the event loop is at work; it counts as idle if absent. */
  readonly loopLoad?: Pick<LoopLoad, 'measureShare'>;
}

/** Share of the time at work from which an instance leaves all calls to relays. */
const BUSY_LOOP_SHARE = 0.5;
/** CPU time of a direct call to a target, in seconds: an HTTP request with its answer. */
const DIRECT_CALL_CPU_S = 0.000_4;
/** Share of its CPU that an instance spends on direct calls to targets while there are relays. */
const DIRECT_CALLS_CPU_SHARE = 0.05;
/** Time for which unused direct calls are kept, in seconds: a round starts dozens of tasks. */
const DIRECT_CALLS_BURST_S = 0.25;
/**
 * Timeout for a relay's reply on top of the target's own wait, in ms: above the 1 s of an order.
 */
const RELAY_TIMEOUT_MS = 1_300;
/** Interval for listing the relays, in ms; the group that names them is read every second. */
const RELAY_LIST_INTERVAL_MS = 500;
/** Time after a failure in which a relay, or relaying to a target, is avoided, in milliseconds. */
const RELAY_AVOIDANCE_MS = 5_000;

/**
 * Creates the limit of an instance's direct calls to targets.
 *
 * If a home on a tenth of a core called as many targets as one on a whole core, the calls alone
 * would take twice its CPU, and leases would lapse because it cannot renew them in time.
 * @param coreCount - CPU of the instance, in cores.
 * @returns The limit; it allows one call at least.
 */
function createDirectCallLimit(coreCount: number): TokenBucket {
  const ratePerS = (DIRECT_CALLS_CPU_SHARE * coreCount) / DIRECT_CALL_CPU_S;
  const burstCount = Math.max(1, Math.floor(DIRECT_CALLS_BURST_S * ratePerS));
  return new TokenBucket({ ratePerS, burstCount });
}

/**
 * Calls targets through other instances when there are more calls than this instance should make.
 *
 * All jobs of a pool are decided by one home, so the load peak of a pool falls on one instance. Its
 * calls alone take an eighth of a core at 300 a second, and a home that falls behind serves every
 * job late and loses its leases, while the instances without a home are idle. The home still
 * makes every decision; an instance that holds no home makes the calls on its behalf, with its
 * term. A call that is lost or delayed on the way counts as unanswered, as a direct call may be, so
 * the same safeguards apply. Outside of peaks, a home calls its targets itself, which no failure of
 * a relay can delay.
 */
export class RelayedTargets implements LeasedTargetPort {
  private readonly options: RelayedTargetsOptions;

  private readonly directCallLimit: TokenBucket;

  /**
   * Relays that did not reply and targets that did not answer through a relay, with the monotonic
   * time until which they are avoided.
   */
  private readonly avoidedUntilMs = new Map<string, number>();

  private relays: readonly PeerAddress[] = [];

  private relaysListedAtMs = Number.NEGATIVE_INFINITY;

  /** The relay assigned to each target, among the current relays. */
  private readonly relayOf = new Map<string, PeerAddress>();

  /**
   * Creates a port that calls targets directly as long as the calls are few.
   * @param options - The direct port, and the instances that may relay calls.
   */
  constructor(options: RelayedTargetsOptions) {
    this.options = options;
    this.directCallLimit = createDirectCallLimit(options.coreCount);
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
  ): Promise<CommandAnswer> {
    return (await this.call(target, { type: 'stop', taskName, run, term })) as CommandAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  async pace(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    percent: number,
    term: number,
  ): Promise<CommandAnswer> {
    const call = { type: 'pace', taskName, run, percent, term } as const;
    return (await this.call(target, call)) as CommandAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  async renew(target: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    return (await this.call(target, { type: 'renew', renewal })) as LeaseAnswer;
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  forget(targetId: string): void {
    this.relayOf.delete(targetId);
    this.avoidedUntilMs.delete(targetId);
    this.options.targets.forget(targetId);
  }

  private call(target: LeasedTargetAddress, call: TargetCall): Promise<TargetAnswer> {
    const relay = this.mayCallDirectly() ? undefined : this.findRelay(target.targetId);
    return relay === undefined
      ? callTarget(this.options.targets, target, call)
      : this.callViaRelay(relay, target, call);
  }

  private mayCallDirectly(): boolean {
    if ((this.options.loopLoad?.measureShare() ?? 0) >= BUSY_LOOP_SHARE) return false;
    return this.directCallLimit.take(this.options.clock.monotonicMs());
  }

  private isAvoided(name: string): boolean {
    const untilMs = this.avoidedUntilMs.get(name);
    if (untilMs === undefined) return false;
    if (this.options.clock.monotonicMs() < untilMs) return true;
    this.avoidedUntilMs.delete(name);
    return false;
  }

  /** Finds the relay of a target; undefined if this instance has to call the target directly. */
  private findRelay(targetId: string): PeerAddress | undefined {
    if (this.isAvoided(targetId)) return undefined;
    this.refreshRelays();
    const relay = this.relayOf.get(targetId) ?? this.chooseRelay(targetId);
    if (relay === undefined || this.isAvoided(relay.instance)) return undefined;
    this.relayOf.set(targetId, relay);
    return relay;
  }

  private refreshRelays(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.relaysListedAtMs < RELAY_LIST_INTERVAL_MS) return;
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
   * Calls a target through a relay; after one failure, this instance calls it directly for a while.
   * Otherwise the targets of a relay that is gone or cut off would count as silent until the group
   * notices, 2 to 3 s later, although this instance can reach them.
   */
  private async callViaRelay(
    relay: PeerAddress,
    target: LeasedTargetAddress,
    call: TargetCall,
  ): Promise<TargetAnswer> {
    const { peers } = this.options;
    const targetWaitMs = call.type === 'renew' ? call.renewal.waitMs : 0;
    // The other fields of the target would be twice as long as the call itself.
    const { targetId, host, port } = target;
    const request = { type: 'call-target', target: { targetId, host, port }, call } as const;
    try {
      const reply = await peers.call(relay, request, RELAY_TIMEOUT_MS + targetWaitMs);
      if (reply.type === 'target-answer') return reply.answer;
      const message = reply.type === 'refused' ? reply.message : `The relay replied ${reply.type}.`;
      return throwError('target-silent', message);
    } catch (thrown) {
      const { kind, message: reason } = toRattanliftError(thrown);
      this.avoid(targetId);
      // A relay that replies is working; its target may just have left.
      if (kind !== 'target-silent') this.avoid(relay.instance);
      const fields = { relay: relay.instance, targetId, call: call.type, reason };
      this.options.events.write('relayFailed', fields);
      throw thrown;
    }
  }

  private avoid(name: string): void {
    this.avoidedUntilMs.set(name, this.options.clock.monotonicMs() + RELAY_AVOIDANCE_MS);
  }
}
