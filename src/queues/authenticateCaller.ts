import { throwError } from '../errors/index.js';
import type { CallerIdentity } from '../jobs/index.js';
import { memoizeByObject } from '../utils/index.js';
import { digestKey, KeyRing } from './KeyRing.js';
import type { Organisation } from './Organisation.js';
import type { QueueConfiguration, QueueRoute } from './QueueConfiguration.js';

const getKeyRing = memoizeByObject(
  (organisations: readonly Organisation[]) => new KeyRing(organisations),
);

/**
 * Determines whose call a request is. Whatever key a call to a public queue carries is ignored.
 * @param configuration - The configuration in force.
 * @param queue - The queue that the request is about.
 * @param key - Key that the request carries, if any.
 * @returns The organisation and its key; undefined if the queue is public, or the configuration
 * has no organisations.
 * @throws RattanliftError Of kind `key-rejected` if the key is missing, unknown or withdrawn.
 */
export function authenticateCaller(
  configuration: QueueConfiguration,
  queue: QueueRoute,
  key: string | undefined,
): CallerIdentity | undefined {
  const { organisations, version } = configuration;
  if (organisations === undefined || queue.isPublic === true) return undefined;
  if (key === undefined || key === '') {
    return throwError('key-rejected', 'This queue takes calls with the key of an organisation.');
  }
  const keyDigest = digestKey(key);
  const organisation = getKeyRing(organisations).find(keyDigest);
  if (organisation === undefined) {
    return throwError('key-rejected', 'The key is unknown or was withdrawn.');
  }
  return { organisation: organisation.name, keyDigest, configurationVersion: version };
}

/**
 * Tells whether a configuration that is newer than the one by which a caller was authenticated has
 * withdrawn the caller's key.
 *
 * Guards against calls under a withdrawn key through an entry that the store turns away: it goes
 * on by its older configuration, and each call reaches a home.
 * @param caller - The caller, as its entry has authenticated it.
 * @param configuration - Configuration in force at the home.
 * @returns Whether the call must be refused.
 */
export function isKeyWithdrawn(
  caller: CallerIdentity | undefined,
  configuration: QueueConfiguration | undefined,
): boolean {
  const organisations = configuration?.organisations;
  if (caller === undefined || configuration === undefined || organisations === undefined) {
    return false;
  }
  if (configuration.version <= caller.configurationVersion) return false;
  const organisation = getKeyRing(organisations).find(caller.keyDigest);
  return organisation?.name !== caller.organisation;
}
