import type { OrganisationPoolView, OrganisationView } from '../../callers/index.js';
import {
  addResources,
  isEmptyResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
} from '../../jobs/index.js';
import { hasLimit } from '../../queues/index.js';
import type { CommandContext } from '../CommandContext.js';
import { type CliCommand, defineCliCommand } from '../defineCliCommand.js';
import { formatTable } from '../formatTable.js';

const MILLICORES_PER_CORE = 1_000;
const MB_PER_GB = 1_024;

/** Formats amounts as `CORES/GB/GPUS`. */
function formatAmounts({ cpuMillicores, memoryMb, gpuCount }: Resources): string {
  const cores = Math.round(cpuMillicores / MILLICORES_PER_CORE);
  return `${cores}/${Math.round(memoryMb / MB_PER_GB)}/${gpuCount}`;
}

function formatLimit(limit: Resources): string {
  return hasLimit(limit) ? formatAmounts(limit) : 'none';
}

/** Tells why tasks of an organisation wait in a pool. */
function explainWait({ used, waiting, part }: OrganisationPoolView, limit: Resources): string {
  if (isEmptyResources(waiting)) return '-';
  if (!hasLimit(limit)) return 'room';
  if (part === undefined) return 'limit not divided yet';
  const isAtLimit = RESOURCE_NAMES.some(
    (name) => limit[name] > 0 && used[name] + waiting[name] > part[name],
  );
  return isAtLimit ? 'limit' : 'room';
}

function explainWaits({ pools, limit }: OrganisationView): string {
  const reasons = pools
    .map((pool) => ({ pool: pool.pool, reason: explainWait(pool, limit) }))
    .filter(({ reason }) => reason !== '-')
    .map(({ pool, reason }) => `${pool}: ${reason}`);
  return reasons.length === 0 ? '-' : reasons.join(', ');
}

function sumUsed({ pools }: OrganisationView): Resources {
  return pools.reduce<Resources>((sum, { used }) => addResources(sum, used), NO_RESOURCES);
}

/**
 * Creates `organisations`.
 * @param context - Input, output and daemons.
 * @returns The command.
 */
export function createOrganisationsCommand(context: CommandContext): CliCommand {
  return defineCliCommand({
    name: 'organisations',
    description: 'List organisations with share, limit, use, and why their tasks wait',
    example: 'rattanlift organisations --daemon 10.1.0.11:8080',
    args: {},
    run: async () => {
      context.print(await context.getQueuesOrThrow().listOrganisations(), (rows) =>
        formatTable(
          [
            { title: 'ORGANISATION', valueOf: (row) => row.organisation },
            { title: 'WEIGHT', valueOf: (row) => row.weight },
            { title: 'KEYS', valueOf: (row) => row.keyIds.length },
            { title: 'USED CORES/GB/GPUS', valueOf: (row) => formatAmounts(sumUsed(row)) },
            { title: 'LIMIT', valueOf: (row) => formatLimit(row.limit) },
            { title: 'WAITS FOR', valueOf: (row) => explainWaits(row) },
          ],
          rows,
        ),
      );
    },
  });
}
