import type { FastifyInstance } from 'fastify';
import { throwError } from '../errors/index.js';
import type { Resources } from '../jobs/index.js';
import { getKeyId, type Organisation, type QueueConfiguration } from '../queues/index.js';
import type { PoolOrganisations } from '../taskHome/index.js';

/** Tells what organisations use. */
export interface OrganisationPort {
  /** Gets what organisations use and may use in a pool; errors are RattanliftErrors. */
  getOrganisationUse(pool: string): Promise<PoolOrganisations>;
}

/** Options of {@link registerOrganisationRoutes}. */
export interface OrganisationRoutesOptions {
  readonly port: OrganisationPort;
  readonly getConfiguration: () => QueueConfiguration | undefined;
}

/** What an organisation uses and waits for in one pool. */
export interface OrganisationPoolView {
  readonly pool: string;
  readonly used: Resources;
  readonly waiting: Resources;
  /** What it may use in the pool; absent without a limit, and before the limit was divided. */
  readonly part?: Resources;
}

/** An organisation as operators see it. */
export interface OrganisationView {
  readonly organisation: string;
  readonly weight: number;
  /** Limit over all pools; 0 in a field is no limit there. */
  readonly limit: Resources;
  /** First digits of the digests of its keys. */
  readonly keyIds: readonly string[];
  readonly pools: readonly OrganisationPoolView[];
}

/** What the home of a pool has told. */
interface ToldPool extends PoolOrganisations {
  readonly pool: string;
}

function viewPool(
  { pool, use, parts }: ToldPool,
  organisation: string,
): readonly OrganisationPoolView[] {
  const own = use.find((entry) => entry.organisation === organisation);
  const part = parts.find((entry) => entry.organisation === organisation)?.part;
  if (own === undefined) return [];
  const { used, waiting } = own;
  return [{ pool, used, waiting, ...(part === undefined ? {} : { part }) }];
}

function view(
  { name, weight, limit, keyDigests }: Organisation,
  told: readonly ToldPool[],
): OrganisationView {
  const pools = told.flatMap((pool) => viewPool(pool, name));
  return { organisation: name, weight, limit, keyIds: keyDigests.map(getKeyId), pools };
}

/**
 * Registers the route by which operators see organisations with their shares, limits and use.
 * @param server - The server.
 * @param options - The configuration, and where use is asked for.
 */
export function registerOrganisationRoutes(
  server: FastifyInstance,
  { port, getConfiguration }: OrganisationRoutesOptions,
): void {
  server.get('/v1/organisations', async (_request, reply) => {
    const configuration = getConfiguration();
    if (configuration === undefined) throwError('home-unavailable', 'No configuration is known.');
    const told = await Promise.all(
      configuration.pools
        .filter(({ isStandby }) => !isStandby)
        .map(async ({ pool }) => ({ pool, ...(await port.getOrganisationUse(pool)) })),
    );
    const organisations = configuration.organisations ?? [];
    return reply.send(organisations.map((organisation) => view(organisation, told)));
  });
}
