import { assertNever } from '../utils/index.js';
import type {
  LeasedTargetAddress,
  LeasedTargetPort,
  TargetAnswer,
  TargetCall,
} from './LeasedTargetPort.js';

/**
 * Calls the port's method that corresponds to a call value.
 * @param port - Port to the targets.
 * @param target - The target.
 * @param call - The call.
 * @returns The target's answer; the promise rejects if none arrives.
 */
export function callTarget(
  port: LeasedTargetPort,
  target: LeasedTargetAddress,
  call: TargetCall,
): Promise<TargetAnswer> {
  switch (call.type) {
    case 'start':
      return port.start(target, call.start);
    case 'stop':
      return port.stop(target, call.taskName, call.run, call.term);
    case 'pace':
      return port.pace(target, call.taskName, call.run, call.percent, call.term);
    case 'renew':
      return port.renew(target, call.renewal);
    default:
      return assertNever(call);
  }
}
