import type { DurableJobRequest, PeerReply, PeerRequest } from '../peers/index.js';
import type { ConfigurationFollower } from '../queues/index.js';
import type { LeasedTargetPort } from '../targets/index.js';
import { type HomeDirectory, relayTargetCall } from '../taskHome/index.js';

/** Parts of an instance that answer requests of others. */
export interface AnsweringParts {
  readonly configuration: Pick<ConfigurationFollower, 'getReply'>;
  readonly homeDirectory: Pick<HomeDirectory, 'getOwnersReply' | 'addAnnouncedMember'>;
  /** Port through which this instance calls targets directly. */
  readonly targets: LeasedTargetPort;
  readonly handleJob: (request: DurableJobRequest) => Promise<PeerReply>;
}

/**
 * Answers a request of another instance.
 * @param request - The request.
 * @param parts - What answers it.
 * @returns The reply; a refusal of what nodes of durable jobs do not answer.
 */
export async function answerPeer(request: PeerRequest, parts: AnsweringParts): Promise<PeerReply> {
  const { configuration, homeDirectory, targets, handleJob } = parts;
  switch (request.type) {
    case 'submit-durable-job':
    case 'find-durable-job':
    case 'get-durable-job':
    case 'cancel-durable-job':
    case 'count-pending-jobs':
    case 'get-organisation-use':
    case 'sync-pool':
      return handleJob(request);
    case 'get-configuration-version':
    case 'get-configuration-record':
      return configuration.getReply(request);
    case 'list-homes':
      return homeDirectory.getOwnersReply();
    case 'announce-member':
      homeDirectory.addAnnouncedMember(request.member);
      return { type: 'done' };
    case 'call-target':
      return relayTargetCall(targets, request);
    default:
      return { type: 'refused', kind: 'bad-request', message: `No ${request.type} here.` };
  }
}
