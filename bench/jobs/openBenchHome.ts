import { type EventLog, TslogEventLog } from '../../src/logging/index.js';
import { ScrapedMetrics } from '../../src/metrics/index.js';
import { QueuePools } from '../../src/queues/index.js';
import { ALL_MECHANISMS, type Mechanisms } from '../../src/systems/index.js';
import type { LeasedTargetPort } from '../../src/targets/index.js';
import { type TargetEntry, TaskHome } from '../../src/taskHome/index.js';
import { PartitionOpening } from '../../src/taskHome/PartitionOpening.js';
import { HOME_PRODUCER } from '../../src/taskHome/PartitionTerms.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

/** Clock of the homes that are given none. */
export const clock = new SystemClock();
const quietEvents = new TslogEventLog({
  instance: 'home',
  level: 'info',
  writeLine: () => undefined,
});

/** What a home works with. */
export interface BenchHomeParts {
  readonly targets: LeasedTargetPort;
  readonly entries: ReadonlyMap<string, TargetEntry>;
  /** Store with the jobs of an earlier home; an empty one if absent. */
  readonly store?: StoreStandIn;
  /** The clock of this machine if absent. */
  readonly clock?: Clock;
  /** A log that drops its lines if absent. */
  readonly events?: EventLog;
  /** All mechanisms if absent. */
  readonly mechanisms?: Mechanisms;
}

/**
 * Opens a home over ports in memory.
 * @param parts - Its targets and its store.
 * @returns The home, with the jobs that the store has.
 */
export async function openBenchHome(parts: BenchHomeParts): Promise<TaskHome> {
  const { targets, entries, store = new StoreStandIn({ partitionCount: 1 }) } = parts;
  const { mechanisms = ALL_MECHANISMS, events = quietEvents } = parts;
  const homeClock = parts.clock ?? clock;
  const place = { store, topic: 'jobs', partition: 0 };
  const opening = new PartitionOpening({
    ...place,
    termsTopic: 'terms',
    pages: store,
    instance: 'home',
    mayClaim: () => true,
    events,
  });
  const claimed = (await opening.claim())!;
  const home = new TaskHome({
    ...place,
    targets,
    producer: HOME_PRODUCER,
    claimed,
    timing: { targetLeaseMs: 5_000, targetWaitMs: 1_000, keepFinishedMs: 120_000 },
    clock: homeClock,
    events,
    mechanisms,
    metrics: new ScrapedMetrics({ clock: homeClock }),
    getEntries: () => entries,
    queuePools: new QueuePools({ store, topic: 'queues', clock: homeClock, events }),
    listOrganisations: () => [],
    isGroupLeaseHeld: () => true,
    mayExtendLeases: () => true,
    getConfirmationAgeMs: () => 0,
    onReplaced: () => undefined,
  });
  home.load(await opening.read(claimed));
  return home;
}
