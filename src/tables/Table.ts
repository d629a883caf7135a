import { type ErrorKind, throwError } from '../errors/index.js';

/** Options of {@link Table}. */
export interface TableOptions<Key, Row> {
  /** What a row is called in messages, for example `pool`. */
  readonly entity: string;
  /** Kind of the error that a missing row raises. */
  readonly missingKind?: ErrorKind;
  /** Reads the key of a row. */
  readonly keyOf: (row: Row) => Key;
}

/** Rows of one kind of entity by key; rows are read-only and replaced whole. */
export class Table<Key, Row> {
  private readonly rows = new Map<Key, Row>();

  private readonly options: TableOptions<Key, Row>;

  /**
   * Creates an empty table.
   * @param options - What the rows are and how their key is read.
   */
  constructor(options: TableOptions<Key, Row>) {
    this.options = options;
  }

  /** Count of rows. */
  get size(): number {
    return this.rows.size;
  }

  /**
   * Gets a row.
   * @param key - Key of the row.
   * @returns The row, or undefined where there is none.
   */
  get(key: Key): Row | undefined {
    return this.rows.get(key);
  }

  /**
   * Gets a row that has to exist.
   * @param key - Key of the row.
   * @returns The row.
   * @throws RattanliftError Of the table's kind where there is none.
   */
  getOrThrow(key: Key): Row {
    return (
      this.rows.get(key) ??
      throwError(
        this.options.missingKind ?? 'internal',
        `There is no ${this.options.entity} ${String(key)}.`,
      )
    );
  }

  /**
   * Tells whether there is a row.
   * @param key - Key of the row.
   * @returns Whether the table holds it.
   */
  has(key: Key): boolean {
    return this.rows.has(key);
  }

  /**
   * Adds a row, or replaces the one with the same key.
   * @param row - The row.
   */
  put(row: Row): void {
    this.rows.set(this.options.keyOf(row), row);
  }

  /**
   * Removes a row.
   * @param key - Key of the row.
   * @returns Whether there was one.
   */
  remove(key: Key): boolean {
    return this.rows.delete(key);
  }

  /** Removes the row that was inserted first, if there is one. */
  removeOldest(): void {
    const oldest = this.rows.keys().next();
    if (!oldest.done) this.rows.delete(oldest.value);
  }

  /** Removes every row. */
  clear(): void {
    this.rows.clear();
  }

  /**
   * Lists the rows in the order of their first insertion.
   * @returns A new array of the rows.
   */
  list(): readonly Row[] {
    return [...this.rows.values()];
  }
}
