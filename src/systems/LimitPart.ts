import type { Resources } from '../jobs/index.js';

/** Amount of a resource that no limit counts. */
export const UNLIMITED_AMOUNT = Number.MAX_SAFE_INTEGER;

/** What an organisation may have in use in one pool, as a part of its limit over all pools. */
export interface LimitPart {
  readonly organisation: string;
  /** The limit that was divided; 0 in a field is no limit there. */
  readonly limit: Resources;
  readonly part: Resources;
}

/** Parts that the fleet's home gives to the home of a pool. */
export interface LimitOrder {
  /** Term of the fleet's home; homes ignore orders of earlier ones. */
  readonly fleetTerm: number;
  /** Rises with each order of a term; homes ignore orders that arrive after a later one. */
  readonly sequence: number;
  /** Term of the pool's home that the parts are for; absent if the home shall only report. */
  readonly homeTerm?: number;
  /** Parts that differ from those in force. */
  readonly parts: readonly LimitPart[];
}

/** What a pool's home says to an order. */
export interface LimitReport {
  readonly homeTerm: number;
  /** Whether the parts of the order are in force. */
  readonly isApplied: boolean;
  /** Whether a later home of the fleet has given orders already. */
  readonly isOutdated: boolean;
  /** All parts in force; absent if the order was applied. */
  readonly parts?: readonly LimitPart[];
}
