const SEPARATOR = '@';

/** What the id of a target's lifetime consists of. */
export interface TargetLifetime {
  /** Id under which the target reports itself; it may start again under the same one. */
  readonly instance: string;
  /** When it started, in milliseconds since the Unix epoch; undefined if it does not tell. */
  readonly bornAtMs: number | undefined;
}

/** Matches the id of a lifetime, of which the start may be left out. */
const LIFETIME_PATTERN = /^(.*)@(-?\d+)?$/s;

/**
 * Formats the id of a target's lifetime.
 *
 * Guards against a target whose own id looks like that of a lifetime, and which does not tell its
 * start: it would be called by another id, and answer none of the calls.
 * @param lifetime - The target and its start.
 * @returns The id; that of the target itself if its start is unknown and it can't be mistaken.
 */
export function formatLifetimeId({ instance, bornAtMs }: TargetLifetime): string {
  if (bornAtMs !== undefined) return `${instance}${SEPARATOR}${bornAtMs}`;
  return LIFETIME_PATTERN.test(instance) ? `${instance}${SEPARATOR}` : instance;
}

/**
 * Parses the id of a target's lifetime.
 * @param targetId - The id.
 * @returns The target and its start.
 */
export function parseLifetimeId(targetId: string): TargetLifetime {
  const [, instance = targetId, bornAtMs] = LIFETIME_PATTERN.exec(targetId) ?? [];
  return { instance, bornAtMs: bornAtMs === undefined ? undefined : Number(bornAtMs) };
}

/**
 * Tells whether two ids may name the same lifetime.
 * @param targetId - Id of a lifetime; undefined if there is none.
 * @param otherId - Another one; undefined if there is none.
 * @returns Whether they are equal, or one is that of the target without its start.
 */
export function mayBeSameLifetime(targetId?: string, otherId?: string): boolean {
  if (targetId === undefined || otherId === undefined) return targetId === otherId;
  const [lifetime, other] = [parseLifetimeId(targetId), parseLifetimeId(otherId)];
  const { bornAtMs = other.bornAtMs } = lifetime;
  const { bornAtMs: otherBornAtMs = bornAtMs } = other;
  return lifetime.instance === other.instance && bornAtMs === otherBornAtMs;
}

/**
 * Tells whether two ids name different lifetimes of one target.
 * @param targetId - Id of a lifetime.
 * @param otherId - Id of another one.
 * @returns Whether only one of the two can be running.
 */
export function areOfSameTarget(targetId: string, otherId: string): boolean {
  if (targetId === otherId) return false;
  return parseLifetimeId(targetId).instance === parseLifetimeId(otherId).instance;
}
