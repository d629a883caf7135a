import { measureCall, type Metrics, type TimerName } from '../metrics/index.js';
import type { Clock } from '../utils/index.js';
import type { JobNodePorts } from './JobNodeOptions.js';

/** Where the calls of a node are measured. */
export interface PortMeasurement {
  readonly metrics: Metrics;
  readonly clock: Clock;
}

type Measure = <Answer>(
  call: string,
  run: () => Promise<Answer>,
  describe?: (answer: Answer) => string,
) => Promise<Answer>;

const getType = ({ type }: { readonly type: string }): string => type;

function createMeasure(timer: TimerName, measurement: PortMeasurement): Measure {
  return (call, run, describe) =>
    measureCall({ ...measurement, timer, call, run, ...(describe && { describe }) });
}

/**
 * Measures every call of a node to the outside by its kind and result.
 * @param ports - The ports.
 * @param measurement - Where the times go.
 * @returns Ports that do the same and are measured.
 */
export function measurePorts(
  { store, groups, targets, vms }: JobNodePorts,
  measurement: PortMeasurement,
): JobNodePorts {
  const toStore = createMeasure('store_call_ms', measurement);
  const toTarget = createMeasure('target_call_ms', measurement);
  const toVms = createMeasure('vm_call_ms', measurement);
  return {
    store: {
      append: (request) => toStore('append', () => store.append(request), getType),
      readNewest: (...page) => toStore('read-newest', () => store.readNewest(...page)),
      // A reading that waits lasts until something happens, however fast the store is.
      readFrom: (request) =>
        toStore(
          request.waitMs > 0 ? 'follow' : 'read-from',
          () => store.readFrom(request),
          getType,
        ),
    },
    groups: {
      join: (request) => toStore('join', () => groups.join(request)),
      leave: (group, member) => toStore('leave', () => groups.leave(group, member)),
      listOwners: (group) => toStore('list-owners', () => groups.listOwners(group)),
    },
    targets: {
      start: (target, start) => toTarget('start', () => targets.start(target, start), getType),
      stop: (target, ...order) => toTarget('stop', () => targets.stop(target, ...order), getType),
      pace: (target, ...order) => toTarget('pace', () => targets.pace(target, ...order), getType),
      renew: (target, renewal) => toTarget('renew', () => targets.renew(target, renewal), getType),
      forget: (targetId) => targets.forget(targetId),
    },
    vms: {
      listVms: () => toVms('list', () => vms.listVms()),
      moveVm: (...order) => toVms('move', () => vms.moveVm(...order), getType),
      maintainVm: (...order) => toVms('maintain', () => vms.maintainVm(...order), getType),
    },
  };
}
