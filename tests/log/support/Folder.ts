import { type ApplyVerdict, applyEntry } from '../../../src/log/index.js';
import type { RecordBody } from '../../../src/records/index.js';
import { FleetTables } from '../../../src/tables/index.js';

/** Returns a settings document of a team with the given pools, as an operator would write it. */
export function writeDocument(team: string, pools: readonly string[]): string {
  const pool = {
    neededSlotCount: 4,
    availability: { failureDomain: 'vm', maxUnavailableFraction: 0.5 },
    jobKinds: {
      save: { coreCount: 1, memoryMb: 100, expectedRunMs: 1_000, idempotent: false },
    },
  };
  const entries = pools.map((name): [string, object] => [name, pool]);
  return JSON.stringify({ formatVersion: 1, team, pools: Object.fromEntries(entries) });
}

/** Creates a publication of a team's pools that is based on a version. */
export function publication(
  team: string,
  pools: readonly string[],
  baseVersion = 0,
  author = 'anna',
): RecordBody {
  const document = writeDocument(team, pools);
  return { type: 'settings-published', team, baseVersion, author, document };
}

/** Creates the join of an instance. */
export function join(instance: string): RecordBody {
  const address = { host: '127.0.0.1', peerPort: 1, callerPort: 2, dataCentre: 'north' };
  return { type: 'instance-joined', instance, ...address };
}

/** Applies records to a state, one by one. */
export class Folder {
  readonly tables = new FleetTables();

  apply(body: RecordBody, recordId = `r-${this.tables.nextOffset}`): ApplyVerdict {
    return this.applyPayload({ formatVersion: 1, recordId, writer: 'w', body });
  }

  applyPayload(payload: unknown): ApplyVerdict {
    return applyEntry(this.tables, { offset: this.tables.nextOffset, payload });
  }

  /** Applies a record and returns the reason of its rejection, or the type of another verdict. */
  reasonOf(body: RecordBody): string {
    const verdict = this.apply(body);
    return verdict.type === 'rejected' ? verdict.reason : verdict.type;
  }
}

/** Creates a state in which `a` is the home of `wiki/saves` in term 1 and `b` has joined. */
export function createFolderWithHome(): Folder {
  const folder = new Folder();
  folder.apply(publication('wiki', ['saves', 'exports']));
  folder.apply(join('a'));
  folder.apply(join('b'));
  folder.apply({ type: 'home-claimed', pool: 'wiki/saves', instance: 'a', expectedTerm: 0 });
  return folder;
}
