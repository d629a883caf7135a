import { randomInt } from 'node:crypto';
import { z } from 'zod';
import type { EventLog } from '../logging/index.js';
import {
  type AppendResult,
  decodeRecordValue,
  encodeRecordValue,
  type KeyedLogPort,
  type KeyedRecord,
} from '../store/index.js';
import { decodeReadable } from './decodeReadable.js';

/** Producer name under which homes append; the store fences earlier terms of the same producer. */
export const HOME_PRODUCER = 'home';
/** Key under which a partition keeps the term of its home, in either topic. */
const TERM_KEY = 'term';
const APPEND_TIMEOUT_MS = 1_000;
/** Exclusive limit of the random first append number: two claims collide once in a billion. */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

const termSchema = z.looseObject({ term: z.int().positive() });

/** A term in which an instance alone writes a partition. */
export interface ClaimedTerm {
  readonly term: number;
  /** Number of the append that claimed the term; later appends continue from it. */
  readonly sequence: number;
  /** End of the partition, which only appends of this term can move. */
  readonly endOffset: number;
}

/** Options of {@link PartitionTerms}. */
export interface PartitionTermsOptions {
  readonly store: Pick<KeyedLogPort, 'append' | 'readNewest'>;
  /** Topic with the records of the partition. */
  readonly topic: string;
  /** Topic with the latest claimed term of each partition, and nothing else. */
  readonly termsTopic: string;
  readonly partition: number;
  /** Instance that becomes the home. */
  readonly instance: string;
  /** Whether this instance certainly has the partition. */
  readonly mayClaim: () => boolean;
  readonly events: EventLog;
}

function decodeTerm(record: KeyedRecord): number | undefined {
  if (record.key !== TERM_KEY || record.value === undefined) return undefined;
  return decodeRecordValue(termSchema, record).term;
}

/**
 * Claims a new term of a partition, which fences its earlier home, without reading the partition.
 *
 * The latest term is kept in a topic of its own as well. If it had to be found among the records of
 * the partition, nobody could renew the leases of its targets until all of them were read; with
 * many jobs or on a narrow link this takes longer than a lease lasts.
 *
 * The number of the append is random. Two instances that read the same latest term would otherwise
 * claim the next one under the same number. The store would treat the second append as a repeat of
 * the first, both instances would be the home, and the records of each would count as repeats of
 * the other's.
 */
export class PartitionTerms {
  private readonly options: PartitionTermsOptions;

  /** Highest term that this instance knows to be taken, whatever the topic of terms contains. */
  private highestKnownTerm = 0;

  private rejectedCount = 0;

  /**
   * Creates the terms of one partition; nothing is claimed yet.
   * @param options - The partition, and the instance that claims it.
   */
  constructor(options: PartitionTermsOptions) {
    this.options = options;
  }

  /**
   * Claims the next term. From then on the store rejects appends of earlier homes, so the partition
   * changes only by appends of this term.
   * @returns The term; undefined if the partition is no longer wanted, or another claim is needed.
   * @throws Error If the store did not answer; the next claim is for a later term.
   */
  async claim(): Promise<ClaimedTerm | undefined> {
    const { topic, mayClaim } = this.options;
    const term = Math.max(await this.readLatest(), this.highestKnownTerm) + 1;
    // If this instance has lost the partition meanwhile, its higher term would fence the home that
    // has opened on another instance, and the partition would have no home.
    if (!mayClaim()) return undefined;
    const sequence = randomInt(FIRST_SEQUENCE_LIMIT);
    this.highestKnownTerm = term;
    this.recordInBackground({ term, sequence });
    const fenced = await this.append(topic, { term, sequence });
    if (fenced.type === 'appended') return { term, sequence, endOffset: fenced.endOffset };
    if (fenced.type !== 'rejected') this.skipTerms();
    return undefined;
  }

  /**
   * Skips more terms with each rejected claim. Homes that do not know the topic of terms may have
   * had many, and finding the latest among the records would take as long as reading them.
   */
  private skipTerms(): void {
    this.highestKnownTerm += 2 ** this.rejectedCount - 1;
    this.rejectedCount += 1;
  }

  /**
   * Records a claim in the topic of terms, which only tells the next home where to begin: whether
   * the claim is valid depends on the partition alone.
   */
  private recordInBackground(claim: Pick<ClaimedTerm, 'term' | 'sequence'>): void {
    const { termsTopic: topic, partition, events } = this.options;
    this.append(topic, claim).catch((thrown: unknown) => {
      const { term } = claim;
      events.write('appendUnanswered', { topic, partition, term, reason: String(thrown) });
    });
  }

  /** Reads the latest recorded term; an unreadable record counts as none, as claims find a term. */
  private async readLatest(): Promise<number> {
    const { store, termsTopic, partition } = this.options;
    const { records } = await store.readNewest(termsTopic, partition);
    return Math.max(0, ...decodeReadable(records, decodeTerm, this.options));
  }

  private append(
    topic: string,
    { term, sequence }: Pick<ClaimedTerm, 'term' | 'sequence'>,
  ): Promise<AppendResult> {
    const { store, partition, instance } = this.options;
    return store.append({
      topic,
      partition,
      records: [{ key: TERM_KEY, value: encodeRecordValue({ term, instance }) }],
      fence: { producer: HOME_PRODUCER, term, sequence },
      timeoutMs: APPEND_TIMEOUT_MS,
    });
  }
}
