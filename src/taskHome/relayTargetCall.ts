import { toRattanliftError } from '../errors/index.js';
import type { PeerReply, TargetCallRequest } from '../peers/index.js';
import { callTarget, type LeasedTargetPort } from '../targets/index.js';

/**
 * Calls a target on behalf of another instance, which makes the decisions for the target.
 * @param targets - Port through which this instance calls targets.
 * @param request - The call, with the term of the home that requests it.
 * @returns The target's answer, or a refusal if none arrived; the target may have acted in that
 * case.
 */
export async function relayTargetCall(
  targets: LeasedTargetPort,
  { target, call }: TargetCallRequest,
): Promise<PeerReply> {
  try {
    return { type: 'target-answer', answer: await callTarget(targets, target, call) };
  } catch (thrown) {
    const { message } = toRattanliftError(thrown, 'target-silent');
    return { type: 'refused', kind: 'target-silent', message };
  }
}
