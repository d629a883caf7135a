/** Number of queues in a large configuration. */
const ROW_COUNT = 4_250;
const NAME_LENGTH = 10;
/** What every row has in common, at the length that rows have on the platform. */
const FILLER =
  'max_attempts timeout_ms target_duration_ms stretch backend priority public host methods '.repeat(
    2,
  );

function makeName(seed: number): string {
  return Math.sin(seed)
    .toString(36)
    .slice(2, 2 + NAME_LENGTH);
}

/**
 * Makes the record of a large configuration, which compresses like one with names drawn at random.
 * @param version - Its version.
 * @returns The record.
 */
export function makeLargeRecord(version: number): Buffer {
  const rows = Array.from({ length: ROW_COUNT }, (_unused, place) => ({
    name: makeName(place + version),
    path: makeName(place + version + 0.5),
    filler: FILLER,
  }));
  return Buffer.from(JSON.stringify({ version, queues: [], pools: [], rows }));
}

/**
 * Makes the record of a configuration without queues.
 * @param version - Its version.
 * @returns The record.
 */
export function makeSmallRecord(version: number): Buffer {
  return Buffer.from(JSON.stringify({ version, queues: [], pools: [] }));
}
