import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { operate, type RunningDaemon, send } from '../daemon/support/callDaemon.js';
import { World } from '../daemon/support/World.js';

interface Wave {
  readonly wave: string;
  readonly state: string;
  readonly maintainedVmCount: number;
  readonly failedVmCount: number;
  readonly reason: string;
}

let world: World;

beforeEach(async () => {
  world = new World();
  await world.start();
});

afterEach(() => world.stop());

async function startWave(daemon: RunningDaemon): Promise<string> {
  const body = { pools: ['wiki/pages'], author: 'operator' };
  const answer = await operate(daemon, 'POST', '/operators/v1/waves', body);
  return (answer.body as unknown as Wave).wave;
}

async function getWave(daemon: RunningDaemon, wave: string): Promise<Wave> {
  return (await operate(daemon, 'GET', `/operators/v1/waves/${wave}`)).body as unknown as Wave;
}

/** Sends searches one after the other until told to stop; each answer's outcome is kept. */
function keepSending(daemons: readonly RunningDaemon[]) {
  const outcomes: (string | undefined)[] = [];
  let isStopped = false;
  const sendNext = async (): Promise<void> => {
    if (isStopped) return;
    const daemon = daemons[outcomes.length % daemons.length]!;
    const answer = await send(daemon, { kind: 'search', body: { runMs: 100 } });
    outcomes.push(`${answer.status} ${answer.outcome}`);
    await sendNext();
  };
  const running = Promise.all([sendNext(), sendNext(), sendNext()]);
  return async (): Promise<ReadonlySet<string | undefined>> => {
    isStopped = true;
    await running;
    return new Set(outcomes);
  };
}

describe('a maintenance wave', () => {
  // Story: an operator starts a wave by day. Every VM of the pool is drained, rebooted and returned
  // while searches go on; no search may be cut off by a reboot, or be refused for want of capacity.
  it('maintains every VM while jobs run, and cuts none of them off', async () => {
    await world.startDaemons(['entry-1', 'entry-2']);
    const stopSending = keepSending(world.daemons);
    const wave = await startWave(world.daemons[0]!);
    const isFinished = async () => (await getWave(world.daemons[1]!, wave)).state === 'finished';
    await world.waitFor(isFinished);
    expect(await stopSending()).toEqual(new Set(['200 run']));
    expect(await getWave(world.daemons[0]!, wave)).toMatchObject({ failedVmCount: 0 });
  });

  // Story: the home of a pool is stopped between the drain of a VM and its reboot, for longer than
  // its lease. Its successor takes the step up and finishes the wave. The first home then wakes in
  // the middle of its own step: a second reboot would cut off what runs on the VM by now.
  it('reboots each VM once when its home was frozen within a step', async () => {
    await world.startDaemons(['entry-1', 'entry-2', 'entry-3']);
    const home = await world.getHome();
    const [other] = world.daemons.filter((daemon) => daemon !== home);
    const blocked = send(other!, { kind: 'search', body: { runMs: 4_000 } });
    await world.waitFor(() => world.targets.listStarts().length === 1);
    const wave = await startWave(other!);
    const isDraining = () => home.process.logLines.some((line) => line.event === 'stepDraining');
    await world.waitFor(isDraining);
    home.process.signal('SIGSTOP');
    await blocked;
    const isFinished = async () => (await getWave(other!, wave)).state === 'finished';
    await world.waitFor(isFinished);
    const stopSending = keepSending([other!]);
    home.process.signal('SIGCONT');
    const isAwake = () => home.process.logLines.some((line) => line.event === 'homeClosed');
    await world.waitFor(isAwake);
    expect(await stopSending()).toEqual(new Set(['200 run']));
    const boots = world.targets.listVms().map((vm) => Number(vm.bootId.split('#')[1]));
    expect(Math.max(...boots)).toBe(2);
  });

  // Story: the maintenance itself is faulty, and the VMs that it reboots do not come back. The wave
  // has to stop itself before it has taken the pool below its budget.
  it('stops itself when rebooted VMs do not come back', async () => {
    const document = JSON.parse((await import('../daemon/support/World.js')).WIKI_SETTINGS);
    document.pools.pages.maintenance = { rebootTimeoutMs: 1_000 };
    await world.startDaemons(['entry-1', 'entry-2'], JSON.stringify(document));
    const vms = world.targets.listVms().map((vm) => vm.vm);
    world.platform.setFaults({ failedRebootVms: vms });
    const wave = await startWave(world.daemons[0]!);
    const isPaused = async () => (await getWave(world.daemons[0]!, wave)).state === 'paused';
    await world.waitFor(isPaused);
    const { failedVmCount, reason } = await getWave(world.daemons[0]!, wave);
    expect(failedVmCount).toBe(1);
    expect(reason).not.toBe('');
    const answer = await send(world.daemons[1]!, { kind: 'search' });
    expect(answer).toMatchObject({ status: 200, outcome: 'run' });
  });
});
